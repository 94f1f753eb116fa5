package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
)

// Limits of a connection where the configuration names none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout ends a body that stops arriving.
	bodyTimeout = 10 * time.Second
	// unsentTimeout closes a connection whose caller acknowledges nothing.
	unsentTimeout = 5 * time.Second
	// bodiesBytes bounds the bodies that are held at a time, as a share of the
	// memory that one process has on the smallest host.
	bodiesBytes = 64 << 20
)

// Limits bound what a caller may send. Zero values mean the defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func (l Limits) orDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Handler serves requests.
type Handler interface {
	// Serve answers the request of x. The context ends when the caller leaves.
	Serve(ctx context.Context, x *Exchange)
}

// Server accepts connections until Close.
type Server struct {
	Handler Handler
	Limits  func() Limits // in force now
	Log     logr.Logger
	// MaxConnections bounds the open connections; 0 does not. One beyond it takes
	// the place of the one that was idle longest; with none idle it is closed at
	// once, unread, so that its caller goes elsewhere.
	MaxConnections int

	leaving atomic.Bool
	full    atomic.Bool  // the last connection was closed for want of room
	bodies  atomic.Int64 // bytes of bodies that are held
	open    atomic.Int64 // connections

	mu    sync.Mutex
	conns map[*conn]bool
	group sync.WaitGroup
}

// keptShare of MaxConnections may stay open between requests. With more open,
// each answer is the last of its connection, so that callers who come in numbers
// do not take all of them.
const keptShare = 0.6

// crowded reports whether answered connections are to be closed.
func (s *Server) crowded() bool {
	return s.MaxConnections > 0 && float64(s.open.Load()) > keptShare*float64(s.MaxConnections)
}

// acceptPause follows a failed accept, such as one without descriptors left.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections of l until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Info("accept failed", "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		if s.hasRoom() {
			s.start(c)
		} else {
			_ = c.Close() // nothing was read from it
		}
	}
}

// hasRoom reports whether another connection may be opened, and logs when that
// changes.
func (s *Server) hasRoom() bool {
	if s.MaxConnections <= 0 {
		return true
	}
	open := s.open.Load()
	full := open >= int64(s.MaxConnections) && !s.closeLongestIdle()
	if s.full.Swap(full) != full {
		s.Log.Info("room for connections changed", "full", full, "open", open, "most", s.MaxConnections)
	}
	return !full
}

// closeLongestIdle closes the connection that was idle longest and reports
// whether there was one.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *conn
	var since int64
	for c := range s.conns {
		if at := c.idleSince.Load(); at != 0 && (longest == nil || at < since) {
			longest, since = c, at
		}
	}
	return longest != nil && longest.closeIfIdle()
}

func (s *Server) start(nc net.Conn) {
	http1.SetUserTimeout(nc, unsentTimeout)
	c := newConn(s, nc)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[c] = true
	s.mu.Unlock()
	s.open.Add(1)
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.open.Add(-1)
	}()
}

// StartDrain makes every answer from now on the last of its connection.
func (s *Server) StartDrain() { s.leaving.Store(true) }

// ConnectionCounts returns the number of open connections and of those with a request.
func (s *Server) ConnectionCounts() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy.Load() {
			busy++
		}
	}
	return len(s.conns), busy
}

// CloseIdle closes the connections that hold no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Close closes all connections and waits until they are no longer served.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}
