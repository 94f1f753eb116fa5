package caller

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptQuiet is how long no connection may arrive before a listener that stops is closed. Its
	// close resets connections that wait to be accepted.
	acceptQuiet = 2 * time.Millisecond
	// acceptLimit is how long a listener that stops accepts connections at most.
	acceptLimit = 100 * time.Millisecond
)

// listener keeps the connections that it accepts, so that they can be ended.
type listener struct {
	net.Listener
	tls       *tls.Config // nil without TLS
	stopUntil atomic.Pointer[time.Time]
	closed    atomic.Bool

	mu    sync.Mutex // leaf; guards conns
	conns map[*conn]bool
}

func newListener(inner net.Listener, config *tls.Config) *listener {
	return &listener{Listener: inner, tls: config, conns: make(map[*conn]bool)}
}

// Accept implements net.Listener. After stop it returns the connections that are waiting, then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		until := l.stopUntil.Load()
		if until != nil && (time.Now().After(*until) || !l.setDeadline(time.Now().Add(acceptQuiet))) {
			break
		}
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.add(nc), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if until != nil {
			break
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// stop makes Accept close the listener when no connection is waiting.
func (l *listener) stop() {
	interrupted := l.setDeadline(time.Now())
	until := time.Now().Add(acceptLimit)
	l.stopUntil.Store(&until)
	if !interrupted {
		_ = l.Close()
	}
}

// setDeadline sets the deadline of Accept and reports whether there is one.
func (l *listener) setDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(t) == nil
}

func (l *listener) add(nc net.Conn) net.Conn {
	c := &conn{Conn: nc, listener: l, idle: true}
	c.outer = c
	if l.tls != nil {
		c.outer = tls.Server(c, l.tls)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c.outer
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// open returns the open connections.
func (l *listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}
