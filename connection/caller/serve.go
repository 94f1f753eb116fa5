package caller

import (
	"net/http"
	"net/url"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
)

// prepare checks a parsed job and sets its path at the endpoint.
type prepare func(*serve.Job, httprouter.Params, *url.URL) *outcome.Refusal

func (s *Server) chat(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	s.handle(w, r, params, func(job *serve.Job, _ httprouter.Params, _ *url.URL) *outcome.Refusal {
		return prepareChat(job)
	})
}

func (s *Server) service(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	s.handle(w, r, params, prepareService)
}

// handle serves one request and reports its completion.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, params httprouter.Params, prepare prepare) {
	received := s.clock.Now()
	id := s.router.NextID()
	if refusal := s.admit(); refusal != nil {
		if refusal.Code == outcome.TooManyConnections {
			s.releaseConnection(w, r)
		}
		s.refuseBeforeServe(w, r, id, refusal)
		return
	}
	job, refusal := s.parseJob(w, r, id, received)
	if refusal == nil {
		refusal = prepare(job, params, r.URL)
	}
	if refusal != nil {
		s.refuseBeforeServe(w, r, id, refusal)
		return
	}
	sink := &responseSink{w: w, server: s, controller: http.NewResponseController(w), job: job, clock: s.clock}
	refusal = s.router.Serve(r.Context(), job, sink)
	s.report(job, sink, refusal)
	if refusal == nil {
		return
	}
	if sink.started {
		// A clean end would make the response look complete to the caller.
		panic(http.ErrAbortHandler)
	}
	s.drainHeader(w.Header())
	refuse(w, id, refusal)
}

// admit returns a refusal if the request must be refused unread.
func (s *Server) admit() *outcome.Refusal {
	if s.openConns.Load() > int64(s.options.MaxConnections) {
		refusal := outcome.NotRun(outcome.TooManyConnections, "the limit is %d", s.options.MaxConnections)
		refusal.RetryAfter = time.Second
		return refusal
	}
	return s.router.NewWorkRefusal()
}

// refuseBeforeServe refuses a request that is not passed to Router.Serve. The
// connection is closed if the request has a body, as a part of it may be unread.
func (s *Server) refuseBeforeServe(w http.ResponseWriter, r *http.Request, id string, refusal *outcome.Refusal) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	s.log.V(1).Info("request refused", "request", id, "code", int(refusal.Code), "name", refusal.Code.String())
	s.router.Observe(Completion{ID: id, Code: refusal.Code, Run: refusal.Run})
	refuse(w, id, refusal)
}

func (s *Server) report(job *serve.Job, sink *responseSink, refusal *outcome.Refusal) {
	now := s.clock.Now()
	done := Completion{
		ID: job.ID, Workspace: job.Workspace, Kind: job.Kind.Name,
		Code: outcome.OK, Run: outcome.RunDone,
		FirstByte: sink.firstByte, Duration: now.Sub(job.Received), InTime: !now.After(job.Deadline),
	}
	if refusal != nil {
		done.Code, done.Run = refusal.Code, refusal.Run
		done.InTime = false
		done.Truncated = sink.started
	}
	s.router.Observe(done)
	s.log.V(1).Info("request ended", "request", job.ID, "workspace", job.Workspace, "kind", job.Kind.Name,
		"code", int(done.Code), "name", done.Code.String(), "run", done.Run.String(), "ms", done.Duration.Milliseconds())
}
