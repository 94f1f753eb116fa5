package serve

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Client sends requests to endpoints. *endpoint.Client implements it.
type Client interface {
	Do(ctx context.Context, r *endpoint.Request) (*endpoint.Response, *outcome.Refusal)
	Resume(ctx context.Context, r *endpoint.Request, offset int) (*endpoint.Response, error)
	Cancel(ctx context.Context, address netip.AddrPort, id string) error
}

// runAudited serves the job and checks what the caller received.
func (s *Server) runAudited(ctx context.Context, job *Job, sink Sink, claim Claim) *outcome.Refusal {
	audit := &auditSink{inner: sink}
	refusal := s.run(ctx, job, &responseWriter{sink: audit}, claim)
	if refusal == nil {
		s.check.Check(audit.complete(job), invariant.ResponseComplete, func() string {
			return "request " + job.ID + " ended without a complete response"
		})
	}
	return refusal
}

// checkRefusal checks that a request which is refused as not run cannot have
// reached an endpoint.
func (s *Server) checkRefusal(job *Job, state *progress, refusal *outcome.Refusal) {
	s.check.Check(refusal.Run != outcome.RunNot || state.mayHaveReached == 0, invariant.NotRunMeansNotDispatched, func() string {
		return "request " + job.ID + " was dispatched and is refused as not run"
	})
}

// checkRequestID checks that the response that is passed on belongs to this request.
func (s *Server) checkRequestID(job *Job, a *attempt) {
	responseID := a.response.Header.Get(protocol.HeaderRequestID)
	s.check.Check(responseID == a.request.ID, invariant.ResponseMatchesRequest, func() string {
		return "request " + job.ID + " would get the response to " + responseID
	})
}

// auditSink records what goes to the caller, so that it can be checked apart from the
// code that writes it.
type auditSink struct {
	inner    Sink
	status   int
	declared int64
	written  int64
	tail     []byte // last bytes of an event stream
}

// endOfStream is the last event of a complete stream.
var endOfStream = []byte("data: " + protocol.StreamEnd + "\n\n")

// Head implements Sink.
func (a *auditSink) Head(status int, header http.Header, length int64) error {
	a.status, a.declared = status, length
	return a.inner.Head(status, header, length)
}

// Write implements Sink.
func (a *auditSink) Write(part []byte) error {
	a.written += int64(len(part))
	a.tail = append(a.tail, part...)
	if extra := len(a.tail) - len(endOfStream); extra > 0 {
		a.tail = append(a.tail[:0], a.tail[extra:]...)
	}
	return a.inner.Write(part)
}

// complete reports whether the caller received a head and all that it announced.
func (a *auditSink) complete(job *Job) bool {
	switch {
	case a.status == 0:
		return false
	case a.declared >= 0:
		return a.written == a.declared || job.Method == http.MethodHead
	case job.Stream && a.status == http.StatusOK:
		return bytes.HasSuffix(a.tail, endOfStream)
	default:
		return true
	}
}
