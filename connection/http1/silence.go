package http1

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// wakeDeadline is in the past, so that what is in progress returns.
var wakeDeadline = time.Unix(1, 0)

// OnSilence makes reads of R, and WriteAll, call do whenever the other end has sent or taken nothing for d, and after
// Wake, until it is called again; 0 is never. woken tells Wake from a silence. An error of do ends the read or write. After
// nil it goes on, so that no byte is lost to those who parse what R returns. ctx is that of the request, whose end
// sets a deadline on the connection.
func (c *Conn) OnSilence(ctx context.Context, d time.Duration, do func(woken bool) error) error {
	c.ctx, c.silence, c.onSilence = ctx, d, do
	if err := c.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return ctx.Err() // the deadline that its end had set was overwritten
}

// Wake makes a read or write that OnSilence applies to call its function now. It is safe for concurrent use.
func (c *Conn) Wake() {
	c.woken.Store(true)
	_ = c.SetDeadline(wakeDeadline) // fails only on a closed connection, on which nothing waits
}

// watch calls do, which reads or writes, under a deadline that set sets, and calls onSilence whenever it passes.
func (c *Conn) watch(set func(time.Time) error, do func() (int, error)) (int, error) {
	for c.silence > 0 {
		if err := set(time.Now().Add(c.silence)); err != nil {
			return 0, err
		}
		if err := c.ctx.Err(); err != nil {
			return 0, err
		}
		woken := c.woken.Swap(false) // its deadline may have been overwritten
		if !woken {
			n, err := do()
			if n > 0 || !isDeadline(err) {
				return n, err
			}
			if err := c.ctx.Err(); err != nil {
				return 0, err
			}
			woken = c.woken.Swap(false)
		}
		if err := c.onSilence(woken); err != nil {
			return 0, err
		}
	}
	return do()
}

// silenceReader reads from a connection for its R.
type silenceReader struct{ c *Conn }

// Read implements io.Reader.
func (r silenceReader) Read(p []byte) (int, error) {
	return r.c.watch(r.c.SetReadDeadline, func() (int, error) { return r.c.read(p) })
}

// HostSilentFor reports whether the other end's host has acknowledged nothing for d, though bytes or keep-alive
// probes wait for it. The host of a process that is only silent acknowledges both. It is false if that is not known.
func (c *Conn) HostSilentFor(d time.Duration) bool {
	var info *unix.TCPInfo
	if !c.control(func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	}) {
		return false
	}
	return (info.Unacked > 0 || info.Probes > 0) && time.Duration(min(info.Last_ack_recv, info.Last_data_recv))*time.Millisecond >= d
}

func isDeadline(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) } // a timeout of TCP is a failure
