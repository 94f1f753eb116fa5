package http1

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// connected returns both ends of a connection.
func connected(c *qt.C) (near *Conn, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	near, err = NewPool(time.Second).Dial(context.Background(), l.Addr().String(), 10*time.Second)
	c.Assert(err, qt.IsNil)
	far, err = l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// Guards against a body that is misread because its sender paused inside the line of a chunk's size.
func TestBodyGoesOnAfterSilence(t *testing.T) {
	c := qt.New(t)
	near, far := connected(c)
	rest := []string{"\n0123456789", "abcdef\r\n0", "\r\n\r\n"}
	_, err := io.WriteString(far, "10\r")
	c.Assert(err, qt.IsNil)
	silences := 0
	c.Assert(near.OnSilence(context.Background(), 20*time.Millisecond, func() error {
		silences++
		done := near.ReadAhead(func(err error) { c.Check(err, qt.IsNil) })
		_, err := io.WriteString(far, rest[0])
		rest = rest[1:]
		<-done
		return err
	}), qt.IsNil)
	data, err := NewBody(near.R, Chunked).ReadAll(1 << 10)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "0123456789abcdef")
	c.Assert(silences, qt.Equals, 3)
}

// An error ends the read, as the end of the request does, and that of a connection that failed is not lost.
func TestReadEndsAfterSilence(t *testing.T) {
	c := qt.New(t)
	near, far := connected(c)
	given := errors.New("given up")
	c.Assert(near.OnSilence(context.Background(), time.Millisecond, func() error { return given }), qt.IsNil)
	_, err := near.R.ReadByte()
	c.Assert(errors.Is(err, given), qt.IsTrue)

	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(near.OnSilence(ctx, time.Millisecond, func() error { cancel(); return nil }), qt.IsNil)
	_, err = near.R.ReadByte()
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)

	c.Assert(near.OnSilence(context.Background(), 0, nil), qt.IsNil)
	c.Assert(far.(*net.TCPConn).SetLinger(0), qt.IsNil)
	c.Assert(far.Close(), qt.IsNil)
	<-near.ReadAhead(func(err error) { c.Check(err, qt.Not(qt.IsNil)) })
	for range 2 {
		_, err = NewBody(near.R, UntilClose).Read(make([]byte, 1))
		c.Assert(err, qt.Not(qt.IsNil))
		c.Assert(err, qt.Not(qt.Equals), io.EOF)
	}
}
