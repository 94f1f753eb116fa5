package http1

import (
	"bytes"
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
	near.Wake()
	c.Assert(near.OnSilence(context.Background(), 20*time.Millisecond, func(woken bool) error {
		silences++
		if woken {
			return nil
		}
		_, err := io.WriteString(far, rest[0])
		rest = rest[1:]
		return err
	}), qt.IsNil)
	data, err := NewBody(near.R, Chunked).ReadAll(1 << 10)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "0123456789abcdef")
	c.Assert(silences, qt.Equals, 4)
}

// An error ends the read, as the end of the request does, and that of a connection that failed is not lost.
func TestReadEndsAfterSilence(t *testing.T) {
	c := qt.New(t)
	near, far := connected(c)
	given := errors.New("given up")
	c.Assert(near.OnSilence(context.Background(), time.Millisecond, func(bool) error { return given }), qt.IsNil)
	_, err := near.R.ReadByte()
	c.Assert(errors.Is(err, given), qt.IsTrue)

	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(near.OnSilence(ctx, time.Millisecond, func(bool) error { cancel(); return nil }), qt.IsNil)
	_, err = near.R.ReadByte()
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)

	c.Assert(near.OnSilence(context.Background(), 0, nil), qt.IsNil)
	c.Assert(far.(*net.TCPConn).SetLinger(0), qt.IsNil)
	c.Assert(far.Close(), qt.IsNil)
	for range 3 {
		_, err = NewBody(near.R, UntilClose).Read(make([]byte, 1))
		c.Assert(err, qt.Not(qt.IsNil))
		c.Assert(err, qt.Not(qt.Equals), io.EOF)
	}
}

// Guards against a writer whose bytes the other end does not take, and who is not told of it, and against bytes that are lost or written twice then.
func TestWriteGoesOnAfterSilence(t *testing.T) {
	c := qt.New(t)
	near, far := connected(c)
	sent := make([]byte, 16<<20) // more than the buffers of both ends hold
	for i := range sent {
		sent[i] = byte(i >> 8)
	}
	got := make(chan []byte)
	silences := 0
	c.Assert(near.OnSilence(context.Background(), 20*time.Millisecond, func(bool) error {
		if silences++; silences == 2 {
			go func() {
				data, _ := io.ReadAll(far) // compared below
				got <- data
			}()
		}
		return nil
	}), qt.IsNil)
	c.Assert(near.WriteAll(sent[:100], sent[100:]), qt.IsNil)
	c.Assert(near.Close(), qt.IsNil)
	c.Assert(bytes.Equal(<-got, sent), qt.IsTrue)
	c.Assert(silences >= 2, qt.IsTrue)
}

// Guards against an endpoint that is given up as out of reach though only its process is silent.
func TestHostOfASilentProcessIsInReach(t *testing.T) {
	c := qt.New(t)
	near, far := connected(c)
	c.Assert(near.WriteAll([]byte("a request")), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(near.HostSilentFor(50*time.Millisecond), qt.IsFalse) // far has not read, its host has
	c.Assert(far.Close(), qt.IsNil)
	c.Assert(near.Close(), qt.IsNil)
	c.Assert(near.HostSilentFor(0), qt.IsFalse)
}
