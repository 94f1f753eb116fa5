package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

const testTimeout = 10 * time.Second // long, so that a slow machine does not fail a test

type handlerFunc func(ctx context.Context, x *Exchange)

func (f handlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

// serve starts a server of maxConns connections that responds to all requests
// with 200.
func serve(c *qt.C, maxConns int) string {
	s := &Server{Log: logr.Discard(), MaxConnections: maxConns, Limits: func() Limits { return Limits{} },
		Handler: handlerFunc(func(_ context.Context, x *Exchange) { _ = x.Respond(http.StatusOK, nil, []byte("ok")) })}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(c *qt.C, addr string) *caller {
	nc, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = nc.Close() })
	c.Assert(nc.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return &caller{nc, bufio.NewReader(nc)}
}

// roundTrip sends a request and reports whether the connection is kept alive.
func (k *caller) roundTrip() (kept bool, err error) {
	if _, err := io.WriteString(k, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return !response.Close, err
}

// Many callers that keep their connections alive must not lock out others:
// beyond a share of MaxConnections, responses close the connection.
func TestKeepAliveIsLimitedNearMaxConnections(t *testing.T) {
	c := qt.New(t)
	const maxConns = 10
	addr := serve(c, maxConns)
	kept := 0
	for range 5 * maxConns {
		k := dial(c, addr)
		keptAlive, err := k.roundTrip()
		c.Assert(err, qt.IsNil)
		if keptAlive {
			kept++
		}
	}
	c.Assert(kept >= maxConns/2 && kept < maxConns, qt.IsTrue, qt.Commentf("%d kept", kept))
}

// At MaxConnections, idle connections are closed for new ones, the one that was
// idle longest first.
func TestLongestIdleConnectionIsClosedForNewOne(t *testing.T) {
	c := qt.New(t)
	const maxConns = 4
	addr := serve(c, maxConns)
	first := dial(c, addr)
	_, err := first.roundTrip()
	c.Assert(err, qt.IsNil)
	for range maxConns - 1 {
		dial(c, addr)
	}
	for range 3 {
		_, err := dial(c, addr).roundTrip()
		c.Assert(err, qt.IsNil)
	}
	_, err = first.r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// lostConn is a connection whose other end has sent a request and acknowledges nothing any more.
type lostConn struct {
	net.Conn
	request io.Reader
}

func (l lostConn) Read(p []byte) (int, error) {
	if n, _ := l.request.Read(p); n > 0 {
		return n, nil
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// Guards against requests that go on for a caller whose host or link is gone: the timeout of TCP is no read deadline.
func TestRequestEndsWhenItsCallerIsOutOfReach(t *testing.T) {
	c := qt.New(t)
	ended := make(chan bool, 1)
	s := &Server{Log: logr.Discard(), Limits: func() Limits { return Limits{} }, Handler: handlerFunc(func(ctx context.Context, _ *Exchange) {
		select {
		case <-ctx.Done():
			ended <- true
		case <-time.After(time.Second):
			ended <- false
		}
	})}
	c.Cleanup(s.Close)
	conn, other := net.Pipe()
	c.Cleanup(func() { _ = other.Close() })
	s.ServeConn(lostConn{conn, strings.NewReader("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")})
	c.Assert(<-ended, qt.IsTrue)
}
