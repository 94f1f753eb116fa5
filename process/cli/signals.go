package cli

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// signalBuffer holds the signals that arrive while one is being handled.
	signalBuffer = 16
	// signalCheckInterval is the least time between two checks that no signal is waiting.
	signalCheckInterval = 50 * time.Millisecond
)

// catchSignals returns a reader of the signals that operators send. From its call until its end the process
// ends by none of them, nor by a log whose reader is gone.
func catchSignals() *signalReader {
	signal.Ignore(syscall.SIGPIPE)
	now := time.Now()
	r := &signalReader{signals: make(chan os.Signal, signalBuffer), terminated: make(chan struct{}), terminatedAgain: make(chan struct{}),
		hangups: make(chan struct{}, 1), lastCheck: now, checkBefore: now}
	signal.Notify(r.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return r
}

// signalReader reads the signals of a process, and does nothing else, so that it reads each at once.
type signalReader struct {
	signals chan os.Signal
	// terminated is closed at the first termination signal, and terminatedAgain at the second one.
	terminated, terminatedAgain chan struct{}
	// sent is no later than the first termination signal was; set before terminated is closed.
	sent time.Time
	// hangups holds one element from a SIGHUP until it is received.
	hangups chan struct{}

	terminations int
	// lastCheck and checkBefore are when no signal was waiting. One that was sent while the process stood still may be
	// delivered after the first check that follows, so that only the one before is sure.
	lastCheck, checkBefore time.Time
}

// run reads signals to the end of the process.
func (r *signalReader) run(log logr.Logger) {
	check := time.NewTimer(signalCheckInterval) // no ticker: its next tick may follow a late one at once
	for {
		select {
		case sig := <-r.signals:
			log.Info("signal", "signal", sig.String(), "late_ms", time.Since(r.checkBefore).Milliseconds())
			r.handle(sig)
		case <-check.C:
			if len(r.signals) == 0 {
				r.lastCheck, r.checkBefore = time.Now(), r.lastCheck
			}
			check.Reset(signalCheckInterval)
		}
	}
}

// handle passes a signal on. A SIGHUP that comes before the last one was received counts as the same.
func (r *signalReader) handle(sig os.Signal) {
	if sig == syscall.SIGHUP {
		select {
		case r.hangups <- struct{}{}:
		default:
		}
		return
	}
	switch r.terminations++; r.terminations {
	case 1:
		r.sent = r.checkBefore
		close(r.terminated)
	case 2:
		close(r.terminatedAgain)
	}
}
