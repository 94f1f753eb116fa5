package httpserver

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Loopback is the default listen address of stand-ins.
const Loopback = "127.0.0.1:0"

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 30 * time.Second

// Server is an HTTP server that can be stopped abruptly and restarted on the same address.
type Server struct {
	handler http.Handler
	addr    netip.AddrPort

	mu     sync.Mutex
	http   *http.Server // nil while stopped
	closed bool
	wg     conc.WaitGroup
}

// Start listens on addr, or on a free loopback port if addr is empty.
func Start(addr string, handler http.Handler) (*Server, error) {
	if addr == "" {
		addr = Loopback
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &Server{handler: handler, addr: listener.Addr().(*net.TCPAddr).AddrPort()}
	s.serve(listener)
	return s, nil
}

func (s *Server) serve(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	s.http = server
	s.wg.Go(func() { _ = server.Serve(listener) })
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.addr
}

// URL returns the base URL of the server.
func (s *Server) URL() string {
	return "http://" + s.addr.String()
}

// Stop closes the listener and all connections. It reports whether the server was running.
func (s *Server) Stop() bool {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	return true
}

// Restart listens again on the same address after Stop. It does nothing after Close.
func (s *Server) Restart() error {
	listener, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	s.serve(listener)
	return nil
}

// Go runs f in a goroutine that Close waits for. After Close it does nothing.
func (s *Server) Go(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.wg.Go(f)
	}
}

// Close stops the server for good and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Stop()
	s.wg.Wait()
}
