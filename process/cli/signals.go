package cli

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// signalBuffer holds the signals that arrive while one is being handled.
	signalBuffer = 16
	// signalCheckInterval is the interval at which a process finds that no signal is waiting.
	signalCheckInterval = 50 * time.Millisecond
)

// catchSignals returns the signals that operators send. From its call until its end the process
// ends by none of them, nor by a log whose reader is gone.
func catchSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// signalChecks tell how much earlier than it is read a signal may have been sent.
type signalChecks struct {
	// last and previous are when no signal was waiting. One that was sent while the process stood still may
	// come after the first check that follows, so that only the one before is sure.
	last, previous time.Time
}

func newSignalChecks(now time.Time) signalChecks { return signalChecks{now, now} }

// none records that no signal is waiting.
func (c *signalChecks) none(now time.Time) { c.last, c.previous = now, c.last }

// late returns how much earlier a signal that is read now may have been sent.
func (c *signalChecks) late(now time.Time) time.Duration { return now.Sub(c.previous) }

// termination is the first termination signal of a process.
type termination struct {
	once sync.Once
	// begun is closed by it.
	begun chan struct{}
	// late is how much earlier it may have been sent; set before begun is closed.
	late time.Duration
}

func newTermination() *termination { return &termination{begun: make(chan struct{})} }

// handle logs a signal that was sent late ago at most, and reports whether the settings are to be reloaded. Termination signals
// after the first one change nothing: what is in progress goes on until the grace period ends.
func (t *termination) handle(log logr.Logger, sig os.Signal, late time.Duration) (reload bool) {
	log.Info("signal", "signal", sig.String(), "late_ms", late.Milliseconds())
	if sig == syscall.SIGHUP {
		return true
	}
	t.once.Do(func() {
		t.late = late
		close(t.begun)
	})
	return false
}
