package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// errIdleTimeout is the cause of a request cancelled because no data arrived.
var errIdleTimeout = errors.New("the endpoint stopped sending")

// IsIdleTimeout reports whether err comes from an endpoint that stopped sending.
func IsIdleTimeout(err error) bool {
	return errors.Is(err, errIdleTimeout)
}

// watchdog cancels a request when no data arrives for too long. A timeout of 0
// stands for unbounded.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(cancel context.CancelCauseFunc, timeout time.Duration) *watchdog {
	if timeout <= 0 {
		timeout = unbounded
	}
	return &watchdog{timer: time.AfterFunc(timeout, func() { cancel(errIdleTimeout) })}
}

// unbounded is used in place of a timeout of 0.
const unbounded = 24 * time.Hour

func (w *watchdog) reset(timeout time.Duration) {
	if timeout <= 0 {
		timeout = unbounded
	}
	w.timer.Reset(timeout)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}

// watchedBody is a response's body with an idle timeout. Closing it before its
// end closes the connection.
type watchedBody struct {
	ctx         context.Context
	inner       io.ReadCloser
	watch       *watchdog
	cancel      context.CancelCauseFunc
	idleTimeout time.Duration
	// refuses reports whether the endpoint refuses connections. It is nil for a body whose
	// end is marked; others end with their connection, and so does a crash.
	refuses func() bool
}

// Read implements io.Reader. The idle timeout runs up to the first Read and during
// each Read, but not between Reads, so that a slow reader does not count against
// the endpoint.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watch.reset(b.idleTimeout)
	n, err := b.inner.Read(p)
	b.watch.stop()
	if err != nil && err != io.EOF && context.Cause(b.ctx) == errIdleTimeout {
		return n, errIdleTimeout
	}
	if err == io.EOF && b.refuses != nil && b.refuses() {
		return n, io.ErrUnexpectedEOF
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
	// drainTimeout bounds each read of what follows protocol.StreamEnd.
	drainTimeout = 50 * time.Millisecond
	// drainBytes bounds what may follow protocol.StreamEnd.
	drainBytes = 4 << 10
)

// Drain reads what follows protocol.StreamEnd, so that the connection can be
// reused. It waits at most drainTimeout for each read.
func (r *Response) Drain() {
	body, ok := r.Body.(*watchedBody)
	if !ok {
		return
	}
	body.idleTimeout = drainTimeout
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}
