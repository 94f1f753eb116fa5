package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// shutdownPoll is the pause between checks for open connections during a shutdown.
const shutdownPoll = 20 * time.Millisecond

// StartDrain closes each connection after its next response. Idle connections stay open, since a
// request may be on its way.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// Shutdown accepts no more connections, answers those that are idle with refusal and waits until
// all are closed. It returns when ctx ends.
func (s *Server) Shutdown(ctx context.Context, refusal *outcome.Refusal) {
	s.StartDrain()
	l := s.listener.Load()
	if l == nil {
		return
	}
	l.stop()
	response := refusalResponse(refusal)
	var group conc.WaitGroup
	defer group.Wait()
	for !l.closed.Load() || len(l.open()) > 0 {
		for _, c := range l.open() {
			if c.beginEnd() {
				group.Go(func() { c.refuse(response) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(shutdownPoll):
		}
	}
}

// drainHeader makes a response close its connection if the drain has begun.
func (s *Server) drainHeader(header http.Header) {
	if s.draining.Load() {
		header.Set("Connection", "close")
	}
}

// withDrainHeader calls drainHeader before handler.
func (s *Server) withDrainHeader(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.drainHeader(w.Header())
		handler.ServeHTTP(w, r)
	})
}

// withBeginRequest runs handler unless the request's connection was refused meanwhile.
func withBeginRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nc, _ := r.Context().Value(connKey{}).(net.Conn)
		if c := connOf(nc); c != nil && !c.beginRequest() {
			_, _ = c.Read(make([]byte, 1)) // until the caller has the refusal
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// responseBuffer is an http.ResponseWriter that keeps the response.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header         { return b.header }
func (b *responseBuffer) WriteHeader(status int)      { b.status = status }
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// refusalResponse returns refusal as an HTTP response that closes its connection.
func refusalResponse(refusal *outcome.Refusal) []byte {
	b := &responseBuffer{header: http.Header{"Connection": {"close"}}}
	refuse(b, "", refusal)
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 " + strconv.Itoa(b.status) + " " + http.StatusText(b.status) + "\r\n")
	_ = b.header.Write(&out) // a bytes.Buffer returns no error
	out.WriteString("\r\n")
	out.Write(b.body.Bytes())
	return out.Bytes()
}
