package run

import (
	"expvar"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/process/logging"
	"github.com/stoatmount/stoatmount/process/observe"
	"github.com/stoatmount/stoatmount/process/router"
)

type platformArguments struct {
	Settings string `short:"s" help:"Settings file of the platform, in TOML." default:"/etc/stoatmount/boot.toml" env:"STOATMOUNT_SETTINGS" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and end."`
	Metrics  uint16 `name:"metrics-port" help:"Port of the metrics at /debug/vars; 0 serves none." default:"0" placeholder:"PORT"`
	Level    string `help:"Log level: error, info or debug." default:"info" env:"STOATMOUNT_LOG_LEVEL" placeholder:"LEVEL"`
}

// logFlush bounds the wait for the log's reader when the process ends.
const logFlush = 200 * time.Millisecond

// servePlatform runs the process on the users' platform. Logs go to stdout.
func servePlatform(a platformArguments, stdout, stderr io.Writer) int {
	s, err := platform.LoadSettings(a.Settings)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if a.Check {
		_, _ = fmt.Fprintf(stdout, "%s is valid\n", a.Settings)
		return exitDone
	}
	if a.Metrics != 0 {
		s.Metrics = net.JoinHostPort(s.Address, strconv.Itoa(int(a.Metrics)))
	}
	lines := logging.NewAsync(stdout)
	defer lines.Close(logFlush)
	log := logging.New(lines, a.Level).WithValues("host", s.Name)
	calls := observe.NewCalls(expvar.Publish)
	requests := observe.NewRequests(log, expvar.Publish)
	expvar.Publish("log_lines_unread", expvar.Func(func() any { return lines.Dropped() }))
	r, err := router.New(s, platform.NewAdapter(s.Store, calls.Call), requests, log)
	if err == nil {
		err = r.Start()
	}
	if err != nil {
		log.Error(err, "could not start")
		return exitFailed
	}
	awaitEnd(log)
	r.Leave()
	return exitDone
}

// awaitEnd returns when a signal asks the process to end. The settings of the
// platform hold nothing that a running process takes on, so that a signal to
// read them again is only noted.
func awaitEnd(log logr.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for sig := range signals {
		log.Info("signal", "signal", sig.String())
		if sig != syscall.SIGHUP {
			return
		}
	}
}
