package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// headerTimeout bounds the arrival of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 2 * time.Minute
	// hardLimitFactor is the multiple of MaxConnections above which new connections
	// are closed unread; below it, requests over MaxConnections get a coded refusal.
	hardLimitFactor = 2
)

// Options configure the callers' API.
type Options struct {
	BodyBytes      int64
	HeaderBytes    int
	BodyTimeout    time.Duration
	MaxConnections int
	SkipAuth       bool // serve callers without checking their keys
	TLS            *tls.Config
}

// Server is the callers' API of one process.
type Server struct {
	router    Router
	options   Options
	clock     clockwork.Clock
	log       logr.Logger
	http      *http.Server
	listener  atomic.Pointer[listener]
	draining  atomic.Bool  // connections are closed after their next response
	openConns atomic.Int64 // number of connections, without those in released
	released  sync.Map     // connections (net.Conn) that are closed after the refusal being written
}

// NewServer returns a server that is not listening yet.
func NewServer(router Router, options Options, clock clockwork.Clock, log logr.Logger) *Server {
	s := &Server{router: router, options: options, clock: clock, log: log}
	s.http = &http.Server{
		Handler:           withBeginRequest(s.withDrainHeader(s.routes())),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    2 * options.HeaderBytes, // above the limit of checkHeaderSize, which refuses with a code
		TLSConfig:         options.TLS,
		ConnState:         s.trackConnection,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return s
}

// Serve serves callers on l until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	wrapped := newListener(l, s.options.TLS)
	s.listener.Store(wrapped)
	err := s.http.Serve(wrapped)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close closes all connections at once.
func (s *Server) Close() error {
	return s.http.Close()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int64 {
	return s.openConns.Load()
}

func (s *Server) trackConnection(nc net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.openConns.Add(1) > int64(hardLimitFactor*s.options.MaxConnections) {
			_ = nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		if _, released := s.released.LoadAndDelete(nc); !released {
			s.openConns.Add(-1)
		}
	case http.StateIdle:
		if c := connOf(nc); c != nil {
			c.setIdle()
		}
	case http.StateActive:
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// releaseConnection stops counting a connection that is closed after the next
// response, since its caller may open the next one as soon as it has that.
func (s *Server) releaseConnection(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	if _, released := s.released.LoadOrStore(conn, true); !released {
		s.openConns.Add(-1)
	}
}

func (s *Server) routes() http.Handler {
	mux := httprouter.New()
	mux.RedirectTrailingSlash = false
	mux.RedirectFixedPath = false
	mux.HandleOPTIONS = false
	mux.GET(PathAddresses, s.addresses)
	mux.POST(PathChat, s.chat)
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		mux.Handle(method, PathServices, s.service)
	}
	mux.GET(PathHealth, s.health)
	mux.GET(PathReady, s.ready)
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, "", outcome.NotRun(outcome.NotFound, "no such path: %.200s", r.URL.Path))
	})
	mux.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, "", outcome.NotRun(outcome.MethodNotAllowed, "%.20s is not allowed here", r.Method))
	})
	return mux
}

// health responds with 200 as long as the process runs.
func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
}

// ready responds with 200 while callers should be sent to this router.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.router.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	refusal := s.router.NewWorkRefusal()
	if refusal == nil {
		refusal = outcome.NotRun(outcome.Draining, "")
	}
	refuse(w, "", refusal)
}
