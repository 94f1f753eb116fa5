package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
)

const (
	readBufferBytes = 4 << 10
	// writeTimeout bounds a write of a response that the caller does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the rest of a rejected request is discarded, so
	// that the close does not reset the connection before the caller has read the
	// response.
	lingerTimeout = 300 * time.Millisecond
)

// conn is a caller's connection.
type conn struct {
	s    *Server
	nc   net.Conn
	r    *bufio.Reader
	busy atomic.Bool // from the first byte of a request until its goroutine has ended the response
	// idleSince is when the connection became idle, as Unix time in ns; 0 while it has a
	// request without a complete response, or is closed.
	idleSince atomic.Int64

	idleMu sync.Mutex // held while an idle connection is closed or becomes busy
	closed bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, r: bufio.NewReaderSize(nc, readBufferBytes)}
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// serve handles the connection's requests one after the other.
func (c *conn) serve() {
	defer func() { _ = c.nc.Close() }()
	for {
		limits := c.s.Limits().withDefaults()
		if !c.awaitRequest(limits.IdleTimeout) {
			return
		}
		keep := c.serveRequest(limits)
		c.busy.Store(false)
		if !keep {
			return
		}
	}
}

// awaitRequest blocks until a request begins and reports whether one did.
func (c *conn) awaitRequest(idle time.Duration) bool {
	if c.nc.SetReadDeadline(time.Now().Add(idle)) != nil {
		return false
	}
	if !c.beginIdle() {
		return false
	}
	_, err := c.r.Peek(1)
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.idleSince.Store(0)
	if err != nil {
		return false
	}
	c.busy.Store(true)
	return !c.closed
}

// beginIdle marks the connection idle unless its last response did, and reports whether it
// is still open.
func (c *conn) beginIdle() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.closed {
		return false
	}
	c.idleSince.CompareAndSwap(0, time.Now().UnixNano())
	return true
}

// closeIfIdle closes the connection unless it has a request without a complete
// response, and reports whether it closed it. While the last part of a response is being
// written, the connection is closed after that.
func (c *conn) closeIfIdle() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.idleSince.Swap(0) == 0 || c.closed {
		return false
	}
	c.closed = true
	if !c.busy.Load() {
		_ = c.nc.Close()
	}
	return true
}

// serveRequest serves one request and reports whether the connection can be reused.
func (c *conn) serveRequest(limits Limits) bool {
	arrived := time.Now()
	if c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout)) != nil {
		return false
	}
	head, err := http1.ReadRequest(c.r, limits.HeaderBytes)
	if err != nil {
		c.reject(err)
		return false
	}
	if head.Get("Expect") != "" && head.Length != 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	body, reserved, err := c.body(head, limits)
	defer c.s.bodies.Release(reserved)
	if err != nil {
		c.reject(err)
		return false
	}
	x := &Exchange{Head: head, Body: body, Arrived: arrived, Read: time.Now(), conn: c, close: head.Close}
	ctx, cancel := context.WithCancel(context.Background())
	watcher := c.watch(cancel)
	c.s.Handler.Serve(ctx, x)
	callerGone := c.unwatch(watcher)
	cancel()
	return !callerGone && x.complete && !x.close
}

// body reads the whole body. The caller releases what it reserved.
func (c *conn) body(head *http1.Head, limits Limits) (data []byte, reserved int64, err error) {
	if head.Length == 0 {
		return nil, 0, nil
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, 0, err
	}
	return http1.NewBody(c.r, head.Length).ReadReserved(limits.BodyBytes, c.s.maxBodyMemory(), &c.s.bodies)
}

// watch calls cancel when the caller closes the connection. It stops at the
// first byte of a pipelined request.
func (c *conn) watch(cancel context.CancelFunc) chan bool {
	done := make(chan bool, 1)
	if c.r.Buffered() > 0 {
		done <- false
		return done
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // the read fails when the connection is closed
	go func() {
		_, err := c.r.Peek(1)
		callerGone := err != nil && !isTimeout(err)
		if callerGone {
			cancel()
		}
		done <- callerGone
	}()
	return done
}

// unwatch ends the watcher and reports whether the caller closed the connection.
func (c *conn) unwatch(done chan bool) bool {
	select {
	case callerGone := <-done:
		return callerGone
	default:
	}
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the watcher; a closed connection wakes it too
	return <-done
}

// isTimeout reports whether a read deadline that was set here passed. The timeout of TCP, after which the
// caller is out of reach, is a failure of the connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// reject responds to a request that could not be read. No part of it was forwarded.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, http1.ErrHeadTooBig):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, http1.ErrBodyTooBig):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrMemory):
		status = http.StatusServiceUnavailable
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, http1.ErrMalformed):
	default:
		return // the connection is broken
	}
	c.s.Log.Info("rejected a request that could not be read", "peer", c.nc.RemoteAddr().String(), "status", status, "error", err.Error())
	x := &Exchange{conn: c, close: true}
	if x.Respond(status, nil, nil) != nil {
		return
	}
	c.linger()
}

// linger discards what the caller still sends.
func (c *conn) linger() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.r) // ends with the deadline or the caller's close
}
