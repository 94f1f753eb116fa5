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

// audited serves the job and checks what the caller got.
func (s *Server) audited(ctx context.Context, job *Job, sink Sink, claim Claim) *outcome.Refusal {
	audit := &auditSink{inner: sink}
	refusal := s.run(ctx, job, &relay{sink: audit}, claim)
	if refusal == nil {
		s.check.Check(audit.whole(job), invariant.AnswerWhole, func() string {
			return "request " + job.ID + " ended without its whole answer"
		})
	}
	return refusal
}

// checkRefusal checks that a refusal which says not run is about a request of
// which nothing can have reached the work of an endpoint.
func (s *Server) checkRefusal(job *Job, done *progress, refusal *outcome.Refusal) {
	s.check.Check(refusal.Run != outcome.RunNot || done.left == 0, invariant.NotRunIsTrue, func() string {
		return "request " + job.ID + " was dispatched and is refused as not run"
	})
}

// checkEcho checks that the answer which is passed on is to this request.
func (s *Server) checkEcho(job *Job, l *leg) {
	echoed := l.answer.Header.Get(protocol.HeaderRequestID)
	s.check.Check(echoed == l.request.ID, invariant.AnswerMatchesRequest, func() string {
		return "request " + job.ID + " would get the answer of " + echoed
	})
}

// auditSink notes what goes to the caller, without the code that decides it.
type auditSink struct {
	inner    Sink
	status   int
	declared int64
	written  int64
	tail     []byte // last bytes of an event stream
}

// endOfStream is the last event of a whole stream.
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

// whole reports whether the caller got a head and all that it announced.
func (a *auditSink) whole(job *Job) bool {
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
