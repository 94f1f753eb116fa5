package cli

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/process/logging"
	"github.com/stoatmount/stoatmount/process/observe"
	"github.com/stoatmount/stoatmount/process/router"
)

type platformArguments struct {
	Settings string `short:"s" help:"Settings file of the platform, in TOML." default:"/etc/stoatmount/boot.toml" env:"STOATMOUNT_SETTINGS" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
	Metrics  uint16 `name:"metrics-port" help:"Port of the metrics at /debug/vars; 0 disables them." default:"0" placeholder:"PORT"`
	Level    string `help:"Log level: error, info or debug." default:"info" env:"STOATMOUNT_LOG_LEVEL" placeholder:"LEVEL"`
}

// logFlushTimeout bounds the wait for the reader of the log at shutdown.
const logFlushTimeout = 200 * time.Millisecond

// servePlatform runs the process with the platform's file. Logs go to stdout.
func servePlatform(a platformArguments, signals *signalReader, stdout, stderr io.Writer) int {
	s, err := platform.LoadSettings(a.Settings)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if a.Check {
		_, _ = fmt.Fprintf(stdout, "%s is valid\n", a.Settings)
		return exitOK
	}
	if a.Metrics != 0 {
		s.Metrics = net.JoinHostPort(s.Address, strconv.Itoa(int(a.Metrics)))
	}
	logWriter := logging.NewAsyncWriter(stdout)
	defer logWriter.Close(logFlushTimeout)
	log := logging.New(logWriter, a.Level).WithValues("host", s.Name)
	go signals.run(log)
	calls := observe.NewStoreCalls(expvar.Publish)
	requests := observe.NewRequests(log, expvar.Publish)
	expvar.Publish("log_lines_unread", expvar.Func(func() any { return logWriter.Dropped() }))
	r, err := router.New(s, platform.NewAdapter(s.Store, calls.Record), requests, log)
	if err == nil {
		expvar.Publish("router_state", expvar.Func(func() any { return r.State() }))
		err = r.Start()
	}
	if err != nil {
		log.Error(err, "could not start")
		return exitFailed
	}
	go watchSettings(log, a.Settings, signals.hangups, r.Reload) // to the end of the process
	<-signals.terminated
	r.Shutdown(signals.sent)
	return exitOK
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings at path on SIGHUP or when the content of the file has
// changed, also while the process is being stopped.
func watchSettings(log logr.Logger, path string, hangups <-chan struct{}, reload func(router.Settings) error) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	known, _ := os.ReadFile(path) // LoadSettings has just read it without an error
	for {
		force := false
		select {
		case <-hangups:
			force = true
		case <-tick.C:
		}
		known = reloadIfChanged(log, path, known, force, reload)
	}
}

// reloadIfChanged reads the settings file and reloads the settings if force is
// set or the content differs from known. It returns the content, or nil if the
// file cannot be read.
func reloadIfChanged(log logr.Logger, path string, known []byte, force bool, reload func(router.Settings) error) []byte {
	data, err := os.ReadFile(path)
	if !force && bytes.Equal(data, known) { // also nil twice: an unreadable file is reported only once
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
		log.Info("settings not reloaded; keeping the current ones", "file", path, "error", err.Error())
	}
	return data
}
