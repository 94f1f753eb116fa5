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

// Defaults of Limits, and limits that cannot be configured.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout = 10 * time.Second
	// userTimeout (TCP_USER_TIMEOUT) closes a connection whose caller acknowledges no data.
	userTimeout = 5 * time.Second
	// maxBodyMemoryBytes bounds the request bodies in memory at a time. It is a part of
	// the memory that one process has on the smallest host.
	maxBodyMemoryBytes = 64 << 20
)

// Limits bounds what a caller may send. Zero values mean the defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func (l Limits) withDefaults() Limits {
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
	// Serve handles the request of x. The context ends when the caller closes the
	// connection.
	Serve(ctx context.Context, x *Exchange)
}

// Server serves the connections of callers.
type Server struct {
	Handler Handler
	Limits  func() Limits // in force now
	Log     logr.Logger
	// MaxConnections bounds the open connections; 0 is no bound. At the bound a new
	// connection replaces the one that was idle longest; if none is idle, the new
	// one is closed at once, unread, so that its caller tries another router.
	MaxConnections int
	// MaxBodyMemory bounds the bytes of request bodies in memory at a time; 0 is maxBodyMemoryBytes.
	MaxBodyMemory int64

	draining  atomic.Bool
	full      atomic.Bool  // the last connection was closed because of MaxConnections
	bodies    http1.Memory // of requests
	openConns atomic.Int64 // number of connections

	mu    sync.Mutex
	conns map[*conn]bool
	wg    sync.WaitGroup
}

// keepAliveShare of MaxConnections may stay open between requests. With more
// open, each response closes its connection, so that many callers at once do not
// hold all of them.
const keepAliveShare = 0.6

// nearLimit reports whether connections are to be closed after a response.
func (s *Server) nearLimit() bool {
	return s.MaxConnections > 0 && float64(s.openConns.Load()) > keepAliveShare*float64(s.MaxConnections)
}

// acceptBackoff follows a failed accept, such as when no file descriptor is left.
const acceptBackoff = 20 * time.Millisecond

// maxBodyMemory returns the bound on the bytes of request bodies in memory.
func (s *Server) maxBodyMemory() int64 {
	if s.MaxBodyMemory > 0 {
		return s.MaxBodyMemory
	}
	return maxBodyMemoryBytes
}

// Serve accepts connections of l until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Info("accept failed", "error", err.Error())
			time.Sleep(acceptBackoff)
			continue
		}
		s.ServeConn(c)
	}
}

// ServeConn serves a connection in the background, or closes it unread if MaxConnections are open.
func (s *Server) ServeConn(nc net.Conn) {
	if s.makeRoom() {
		s.start(nc)
	} else {
		_ = nc.Close()
	}
}

// minClosing is the number of connections beyond MaxConnections that may be closing at
// least; in a large server a quarter of MaxConnections may.
const minClosing = 16

// makeRoom reports whether another connection may be opened, closing an idle one
// at the limit. It logs when the result changes.
func (s *Server) makeRoom() bool {
	if s.MaxConnections <= 0 {
		return true
	}
	open, most := s.openConns.Load(), int64(s.MaxConnections)
	full := open >= most && (open >= most+max(minClosing, most/4) || !s.closeLongestIdle())
	if s.full.Swap(full) != full {
		s.Log.Info("connection limit reached or cleared", "full", full, "open", open, "most", s.MaxConnections)
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
	http1.SetUserTimeout(nc, userTimeout)
	c := newConn(s, nc)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[c] = true
	s.mu.Unlock()
	s.openConns.Add(1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.openConns.Add(-1)
	}()
}

// StartDrain closes each connection after its next response.
func (s *Server) StartDrain() { s.draining.Store(true) }

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

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
