package http1

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// OnSilence makes reads of R call do whenever the other end has sent nothing for d, until it is called
// again; 0 is never. An error of do ends the read. After nil the read goes on, so that no byte is lost to
// those who parse what R returns. ctx is that of the request, whose end sets a deadline on the connection.
func (c *Conn) OnSilence(ctx context.Context, d time.Duration, do func() error) error {
	c.ctx, c.silence, c.onSilence = ctx, d, do
	return c.setReadDeadline(time.Time{})
}

// setReadDeadline sets the deadline of reads, unless the context has ended.
func (c *Conn) setReadDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.ctx.Err() // the deadline that its end had set was overwritten
}

// ReadAhead waits in the background until the other end sends something or the connection fails. The
// channel is closed then, and woke tells which of the two. Until then R must not be used.
func (c *Conn) ReadAhead(woke func(err error)) <-chan struct{} {
	done := make(chan struct{})
	if err := c.setReadDeadline(time.Time{}); err != nil {
		woke(err)
		close(done)
		return done
	}
	go func() {
		defer close(done)
		buf := make([]byte, readBufferBytes)
		n, err := c.Conn.Read(buf)
		c.ahead, c.aheadErr = buf[:n], err
		if n > 0 {
			c.received, err = true, nil
		}
		woke(err)
	}()
	return done
}

// silenceReader reads from a connection for its R.
type silenceReader struct{ c *Conn }

// Read implements io.Reader.
func (r silenceReader) Read(p []byte) (int, error) {
	c := r.c
	for len(c.ahead) == 0 {
		if c.aheadErr != nil {
			return 0, c.aheadErr
		}
		if c.silence <= 0 {
			n, err := c.Conn.Read(p)
			c.received = c.received || n > 0
			return n, err
		}
		if err := c.setReadDeadline(time.Now().Add(c.silence)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		c.received = c.received || n > 0
		var t net.Error
		if n > 0 || !errors.As(err, &t) || !t.Timeout() {
			return n, err
		}
		if err := c.ctx.Err(); err != nil {
			return 0, err
		}
		if err := c.onSilence(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}
