package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

const patience = 10 * time.Second // generous, for conditions that come soon

type handlerFunc func(ctx context.Context, x *Exchange)

func (f handlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

// serve starts a server of most connections that answers all requests with 200.
func serve(c *qt.C, most int) string {
	s := &Server{Log: logr.Discard(), MaxConnections: most, Limits: func() Limits { return Limits{} },
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
	c.Assert(nc.SetDeadline(time.Now().Add(patience)), qt.IsNil)
	return &caller{nc, bufio.NewReader(nc)}
}

// ask sends a request and reports whether the connection stays open.
func (k *caller) ask() (kept bool, err error) {
	if _, err := io.WriteString(k, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		return false, err
	}
	answer, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return !answer.Close, err
}

// Callers who come in numbers and keep their connections do not shut others
// out: beyond a part of the connections, answers close theirs.
func TestManyCallersDoNotKeepAllConnections(t *testing.T) {
	c := qt.New(t)
	const most = 10
	addr := serve(c, most)
	kept := 0
	for range 5 * most {
		k := dial(c, addr)
		stays, err := k.ask()
		c.Assert(err, qt.IsNil)
		if stays {
			kept++
		}
	}
	c.Assert(kept >= most/2 && kept < most, qt.IsTrue, qt.Commentf("%d kept", kept))
}

// Connections that were opened and say nothing give way to new ones, the one
// that was idle longest first.
func TestIdleConnectionGivesWay(t *testing.T) {
	c := qt.New(t)
	const most = 4
	addr := serve(c, most)
	first := dial(c, addr)
	_, err := first.ask()
	c.Assert(err, qt.IsNil)
	for range most - 1 {
		dial(c, addr)
	}
	for range 3 {
		_, err := dial(c, addr).ask()
		c.Assert(err, qt.IsNil)
	}
	_, err = first.r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}
