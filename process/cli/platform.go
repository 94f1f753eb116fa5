package cli

import (
	"bytes"
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
	calls := observe.NewStoreCalls(expvar.Publish)
	requests := observe.NewRequests(log, expvar.Publish)
	expvar.Publish("log_lines_unread", expvar.Func(func() any { return lines.Dropped() }))
	r, err := router.New(s, platform.NewAdapter(s.Store, calls.Record), requests, log)
	if err == nil {
		err = r.Start()
	}
	if err != nil {
		log.Error(err, "could not start")
		return exitFailed
	}
	awaitEnd(log, a.Settings, r.Reload)
	r.Shutdown()
	return exitDone
}

// settingsPoll is the pause between looks at the settings file, which may change
// without a signal.
const settingsPoll = 2 * time.Second

// awaitEnd returns when a signal asks the process to end. Until then it passes
// on the settings of path when a signal says that they have changed, or their
// content has.
func awaitEnd(log logr.Logger, path string, reload func(router.Settings) error) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	known, _ := os.ReadFile(path) // read without a fault a moment ago
	for {
		asked := false
		select {
		case sig := <-signals:
			log.Info("signal", "signal", sig.String())
			if sig != syscall.SIGHUP {
				return
			}
			asked = true
		case <-tick.C:
		}
		known = reread(log, path, known, asked, reload)
	}
}

// reread reads the settings again and passes them on if asked to or if they
// differ from known. It returns what was read last, nil if it cannot be read.
func reread(log logr.Logger, path string, known []byte, asked bool, reload func(router.Settings) error) []byte {
	data, err := os.ReadFile(path)
	if !asked && bytes.Equal(data, known) { // a file that stays unreadable is told once
		return known
	}
	var s router.Settings
	if err == nil {
		s, err = platform.ParseSettings(data)
	}
	if err == nil {
		err = reload(s)
	}
	if err != nil {
		log.Info("settings not reloaded; those in force stay", "file", path, "error", err.Error())
	}
	return data
}
