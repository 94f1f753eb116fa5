package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/standin/faultproxy"
)

// startEcho starts an echo server.
func startEcho(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func start(c *qt.C) *faultproxy.Proxy {
	p, err := faultproxy.Start(startEcho(c))
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	return p
}

func dial(c *qt.C, p *faultproxy.Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends text and returns the reply.
func echo(c *qt.C, conn net.Conn, text string) string {
	_, err := conn.Write([]byte(text))
	c.Assert(err, qt.IsNil)
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	return string(got)
}

func TestBlackholeAffectsOpenConnectionsOnly(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	old := dial(c, p)
	c.Assert(echo(c, old, "one"), qt.Equals, "one")
	p.Blackhole()
	_, err := old.Write([]byte("two"))
	c.Assert(err, qt.IsNil)
	c.Check(echo(c, dial(c, p), "three"), qt.Equals, "three")
	c.Assert(old.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err = old.Read(make([]byte, 1))
	c.Check(isTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(p.Stats(), qt.Equals, faultproxy.Stats{Accepted: 2, Open: 2})
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func TestCutClosesConnections(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	conn := dial(c, p)
	c.Assert(echo(c, conn, "one"), qt.Equals, "one")
	p.Cut()
	_, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
	c.Check(isTimeout(err), qt.IsFalse)
}

func TestDelayDelaysBytes(t *testing.T) {
	c := qt.New(t)
	p := start(c)
	p.SetDelay(20 * time.Millisecond)
	conn := dial(c, p)
	sent := time.Now()
	c.Assert(echo(c, conn, "one"), qt.Equals, "one")
	c.Check(time.Since(sent) >= 40*time.Millisecond, qt.IsTrue)
}
