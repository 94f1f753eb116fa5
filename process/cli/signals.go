package cli

import (
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/go-logr/logr"
)

// signalBuffer holds the signals that arrive while one is being handled.
const signalBuffer = 16

// catchSignals returns the signals that operators send. From its call until its end the process
// ends by none of them, nor by a log whose reader is gone.
func catchSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// termination is the first termination signal of a process.
type termination struct {
	once sync.Once
	// begun is closed by it.
	begun chan struct{}
}

func newTermination() *termination { return &termination{begun: make(chan struct{})} }

// handle logs a signal and reports whether the settings are to be reloaded. Termination signals
// after the first one change nothing: what is in progress goes on until the grace period ends.
func (t *termination) handle(log logr.Logger, sig os.Signal) (reload bool) {
	log.Info("signal", "signal", sig.String())
	if sig == syscall.SIGHUP {
		return true
	}
	t.once.Do(func() { close(t.begun) })
	return false
}
