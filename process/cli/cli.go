package cli

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/process/logging"
	"github.com/stoatmount/stoatmount/process/node"
	"github.com/stoatmount/stoatmount/process/settings"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the commands and their flags.
type arguments struct {
	Serve    serveArguments    `cmd:"" default:"withargs" help:"Serve with settings of the product's own format."`
	Platform platformArguments `cmd:"" help:"Serve on the users' platform, with its settings file."`
}

type serveArguments struct {
	Settings string        `short:"s" help:"Settings file in TOML." default:"/etc/stoatmount/settings.toml" env:"STOATMOUNT_SETTINGS" placeholder:"FILE"`
	Check    bool          `help:"Check the settings and exit."`
	Level    string        `help:"Log level: error, info or debug. Overrides the settings." env:"STOATMOUNT_LOG_LEVEL" placeholder:"LEVEL"`
	Grace    time.Duration `help:"Longest wait for requests in progress after a termination signal." default:"10m" env:"STOATMOUNT_GRACE"`
}

const description = `Router process of one entry host.

It accepts requests of callers, chooses endpoints in coordination with the other
routers, and stores nothing on disk. SIGTERM and SIGINT shut it down without
aborting requests in progress. A second one stops ` + "`stoatmount serve`" + ` immediately;
on the platform only SIGKILL does.`

// Main runs the command and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	signals := catchSignals()
	var a arguments
	parser, err := kong.New(&a, kong.Name("stoatmount"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(int) {}))
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if helpWanted(args) { // kong prints it, but does not exit
		_, _ = parser.Parse(args)
		return exitOK
	}
	command, err := parser.Parse(args)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if command.Command() == "platform" {
		return servePlatform(a.Platform, signals, stdout, stderr)
	}
	return serveWithSettings(a.Serve, signals, stdout, stderr)
}

// serveWithSettings runs the process with the file of package settings.
func serveWithSettings(a serveArguments, signals *signalReader, stdout, stderr io.Writer) int {
	s, err := settings.Load(a.Settings)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if a.Level != "" {
		s.Log.Level = a.Level
	}
	if a.Check {
		_, _ = fmt.Fprintf(stdout, "%s is valid\n", a.Settings)
		return exitOK
	}
	return serve(s, a.Grace, signals, logging.New(stderr, s.Log.Level))
}

func helpWanted(args []string) bool {
	for _, arg := range args {
		if arg == "--help" || arg == "-h" {
			return true
		}
	}
	return false
}

func fail(stderr io.Writer, status int, err error) int {
	_, _ = fmt.Fprintf(stderr, "stoatmount: %v\n", err)
	return status
}

// serve runs the process until a termination signal. A second one ends requests in progress. SIGHUP
// changes nothing, as settings are read at the start only.
func serve(s settings.Settings, grace time.Duration, signals *signalReader, log logr.Logger) int {
	process, err := node.New(node.Options{Settings: s, Clock: clockwork.NewRealClock(), Log: log, Seed: rand.Uint64()})
	if err != nil {
		log.Error(err, "could not start")
		return exitFailed
	}
	go signals.run(log)
	go func() {
		for range signals.hangups {
			log.Info("signal without effect; restart the process to apply changed settings", "signal", syscall.SIGHUP.String())
		}
	}()
	process.Start()
	<-signals.terminated
	ctx, cancel := context.WithDeadline(context.Background(), signals.sent.Add(grace))
	defer cancel()
	go func() {
		<-signals.terminatedAgain
		cancel()
	}()
	process.Shutdown(ctx)
	if process.Checker().Total() > 0 { // an invariant was violated
		return exitFailed
	}
	return exitOK
}
