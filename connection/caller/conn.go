package caller

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// lingerTimeout is how long an idle connection that is being ended is read, so that its close does not
// reset it before the caller has the refusal.
const lingerTimeout = 500 * time.Millisecond

// halfCloser is a connection that can be closed for writing alone.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// conn is a caller's connection, below TLS. A shutdown of net/http closes idle connections without regard to a
// request that arrives meanwhile; here it is refused.
type conn struct {
	net.Conn
	listener *listener
	outer    halfCloser // conn, or TLS over it

	mu    sync.Mutex // leaf; guards what follows
	idle  bool       // nothing was read since the connection was accepted or its last response ended
	ended bool       // by beginEnd
}

// connOf returns the conn of a connection that net/http reports, or nil.
func connOf(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Read implements net.Conn. After beginEnd it discards what the caller sends and returns io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	ended := c.ended
	if n > 0 {
		c.idle = false
	}
	c.mu.Unlock()
	if !ended {
		return n, err
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, c.Conn) // ends with the deadline or the caller's close
	}
	return 0, io.EOF
}

// SetReadDeadline implements net.Conn. It does not replace the deadline of beginEnd.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite implements halfCloser. net/http uses it to let a caller read a response before the close.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// beginRequest reports whether the request that is to be served may run. It may have been read with the one before
// it, so that the connection is still taken for idle; after beginEnd it is refused.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return !c.ended
}

// beginEnd begins to end the connection if it is idle, and reports whether it was.
func (c *conn) beginEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ended {
		return false
	}
	c.ended = true
	_ = c.SetDeadline(time.Now().Add(lingerTimeout)) // fails if the connection is closed
	return true
}

// refuse follows beginEnd. It writes refusal, a complete response; what the caller sends is discarded until it closes
// the connection, so that a request on its way is refused and not read.
func (c *conn) refuse(refusal []byte) {
	_, _ = c.outer.Write(refusal) // fails if the caller has closed the connection
	_ = c.outer.CloseWrite()
}
