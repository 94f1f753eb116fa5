package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// errSilent is the cause of a request cancelled because nothing came.
var errSilent = errors.New("the endpoint stopped sending")

// ErrIdleTimeout reports whether err comes from an endpoint that stopped sending.
func ErrIdleTimeout(err error) bool {
	return errors.Is(err, errSilent)
}

// watchdog cancels a request when nothing has come for too long. A bound of 0
// waits for ever.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(cancel context.CancelCauseFunc, bound time.Duration) *watchdog {
	if bound <= 0 {
		bound = longest
	}
	return &watchdog{timer: time.AfterFunc(bound, func() { cancel(errSilent) })}
}

// longest stands for a wait without bound.
const longest = 24 * time.Hour

func (w *watchdog) reset(bound time.Duration) {
	if bound <= 0 {
		bound = longest
	}
	w.timer.Reset(bound)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}

// watchedBody is an answer's body under a watchdog. Closing it before its end
// closes the connection.
type watchedBody struct {
	ctx     context.Context
	inner   io.ReadCloser
	watch   *watchdog
	cancel  context.CancelCauseFunc
	between time.Duration
}

// Read implements io.Reader. Time in which nobody reads does not count as
// silence of the endpoint.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watch.reset(b.between)
	n, err := b.inner.Read(p)
	b.watch.stop()
	if err != nil && err != io.EOF && context.Cause(b.ctx) == errSilent {
		return n, errSilent
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.watch.stop()
	b.cancel(nil)
	return b.inner.Close()
}

const (
	// drainTime is the wait for the end of an answer after its end mark.
	drainTime = 50 * time.Millisecond
	// drainBytes bounds what may come after the end mark.
	drainBytes = 4 << 10
)

// Drain reads the rest of an answer that is known to be whole, so that its
// connection can be used again. It does not wait for long.
func (a *Response) Drain() {
	body, ok := a.Body.(*watchedBody)
	if !ok {
		return
	}
	body.between = drainTime
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}
