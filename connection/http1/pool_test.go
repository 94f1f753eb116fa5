package http1

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// connPair returns a connection of the pool and its other end.
func connPair(c *qt.C, p *Pool) (*Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	conn, err := p.Dial(context.Background(), l.Addr().String(), time.Second)
	c.Assert(err, qt.IsNil)
	other, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = other.Close() })
	return conn, other
}

func eventually(c *qt.C, f func() bool) {
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("condition not met")
}

func TestPoolReusesOnlyOpenConnectionsWithoutUnreadBytes(t *testing.T) {
	c := qt.New(t)
	p := NewPool(time.Second)
	now := time.Now()
	conn, _ := connPair(c, p)
	p.Put(conn, now, 5*time.Second, 4)
	c.Assert(p.Get(conn.addr, now, nil), qt.Equals, conn)
	c.Assert(conn.Reused, qt.IsTrue)
	p.Put(conn, now, 5*time.Second, 4)
	c.Assert(p.Get(conn.addr, now.Add(5*time.Second), nil), qt.IsNil) // near the other end's timeout

	closed, other := connPair(c, p)
	p.Put(closed, now, 0, 4)
	c.Assert(other.Close(), qt.IsNil)
	eventually(c, func() bool { return !reusable(closed) })
	c.Assert(p.Get(closed.addr, now, nil), qt.IsNil)

	unsolicited, other := connPair(c, p)
	p.Put(unsolicited, now, 0, 4)
	_, err := other.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	eventually(c, func() bool { return !reusable(unsolicited) })
	c.Assert(p.Get(unsolicited.addr, now, nil), qt.IsNil)
}

// Guards against a request that the other end takes for the rest of the one before, which was not written to its end.
func TestPoolKeepsNoConnectionWithHalfARequest(t *testing.T) {
	c := qt.New(t)
	p := NewPool(time.Second)
	conn, _ := connPair(c, p)
	given := errors.New("given up")
	c.Assert(conn.OnSilence(context.Background(), 20*time.Millisecond, func(bool) error { return given }), qt.IsNil)
	c.Assert(errors.Is(conn.WriteAll(make([]byte, 16<<20)), given), qt.IsTrue) // more than the buffers of both ends hold
	now := time.Now()
	p.Put(conn, now, 0, 4)
	c.Assert(p.Get(conn.addr, now, nil), qt.IsNil)
}

// Guards against a request that gets a connection again on which a copy of its earlier response could be its next one.
func TestPoolKeepsARequestFromAConnectionThatAnsweredIt(t *testing.T) {
	c := qt.New(t)
	p := NewPool(time.Second)
	now := time.Now()
	const refused = 1
	fits := func(conn *Conn) bool { return !conn.HasAnswered(refused) }
	older, _ := connPair(c, p)
	newer, _ := connPair(c, p)
	older.addr, newer.addr = "same", "same"
	newer.RecordAnswered(refused)
	p.Put(older, now, 5*time.Second, 4)
	p.Put(newer, now, 5*time.Second, 4)
	c.Assert(p.Get("same", now, fits), qt.Equals, older)
	c.Assert(p.Get("same", now, fits), qt.IsNil)
	c.Assert(p.Get("same", now, nil), qt.Equals, newer) // it was kept
}

func TestConnectionKnowsABoundedNumberOfRequests(t *testing.T) {
	c := qt.New(t)
	conn := &Conn{}
	for request := range uint64(maxAnswered + 1) {
		conn.RecordAnswered(request)
	}
	c.Assert(conn.HasAnswered(0), qt.IsFalse)
	c.Assert(conn.HasAnswered(1), qt.IsTrue)
	c.Assert(conn.HasAnswered(maxAnswered), qt.IsTrue)
	c.Assert(conn.answered, qt.HasLen, maxAnswered)
}

func TestPoolIsBounded(t *testing.T) {
	c := qt.New(t)
	p := NewPool(time.Second)
	now := time.Now()
	var conns []*Conn
	for range 3 {
		conn, _ := connPair(c, p)
		conn.addr = "same"
		p.Put(conn, now, 5*time.Second, 2)
		conns = append(conns, conn)
	}
	c.Assert(p.Get("same", now, nil), qt.Equals, conns[2])
	c.Assert(p.Get("same", now, nil), qt.Equals, conns[1])
	c.Assert(p.Get("same", now, nil), qt.IsNil)
	p.Put(conns[1], now, 2*time.Second, 2)
	p.Expire(now.Add(3 * time.Second))
	c.Assert(p.Get("same", now, nil), qt.IsNil)
	p.Put(conns[2], now, 2*time.Second, 2)
	p.CloseIdle("same")
	c.Assert(p.Get("same", now, nil), qt.IsNil)
}

// As keep-alive probes end with TCP_USER_TIMEOUT, whatever their number, it is the silence that
// an idle connection bears, too.
func TestAckTimeoutOfConnection(t *testing.T) {
	c := qt.New(t)
	conn, _ := connPair(c, NewPool(2*time.Second))
	c.Cleanup(func() { _ = conn.Close() })
	inForce := func() (ms int) {
		raw, err := conn.Conn.(syscall.Conn).SyscallConn()
		c.Assert(err, qt.IsNil)
		c.Assert(raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }), qt.IsNil)
		c.Assert(err, qt.IsNil)
		return ms
	}
	c.Assert(inForce(), qt.Equals, 2000)
	conn.SetAckTimeout(4 * time.Second)
	c.Assert(inForce(), qt.Equals, 4000)
	c.Assert(keepAliveProbe*(1+keepAliveProbes), qt.Equals, 4*time.Second) // what the probes alone would bear
	conn.SetAckTimeout(2 * time.Second)
	c.Assert(inForce(), qt.Equals, 2000)
}

// Guards against connections that were only opened being taken for ones that have carried a response, and the reverse.
func TestConnectionsTellWhetherTheyHaveCarriedAResponse(t *testing.T) {
	c := qt.New(t)
	p := NewPool(time.Second)
	for name, read := range map[string]func(conn *Conn) error{
		"read": func(conn *Conn) error { _, err := conn.R.Peek(1); return err },
		"read with a bound on silence": func(conn *Conn) error {
			if err := conn.OnSilence(context.Background(), time.Minute, nil); err != nil {
				return err
			}
			_, err := conn.R.Peek(1)
			return err
		},
		"read after a silence": func(conn *Conn) error {
			conn.Wake()
			if err := conn.OnSilence(context.Background(), time.Minute, func(bool) error { return nil }); err != nil {
				return err
			}
			_, err := conn.R.Peek(1)
			return err
		},
	} {
		conn, other := connPair(c, p)
		p.Put(conn, time.Now(), 0, 4)
		c.Assert(p.Get(conn.addr, time.Now(), nil).Received(), qt.IsFalse, qt.Commentf("%s", name))
		_, err := other.Write([]byte("H"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(conn), qt.IsNil)
		c.Assert(conn.Received(), qt.IsTrue, qt.Commentf("%s", name))
	}
}
