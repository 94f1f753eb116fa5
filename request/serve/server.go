package serve

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/retry"
)

// maxRounds bounds the loop over the attempts of one request. It also counts rounds
// that end before anything is sent.
const maxRounds = 8

// Server serves requests. It is safe for concurrent use.
type Server struct {
	deps   Dependencies
	claims Claims
	client Client
	clock  clockwork.Clock
	check  *invariant.Checker
	log    logr.Logger

	// combine is outcome.Combine. Tests replace it to check that
	// invariant.NotRunMeansNotDispatched detects a wrong outcome.
	combine func(a, b outcome.Run) outcome.Run
}

// NewServer returns a Server.
func NewServer(deps Dependencies, claims Claims, client Client, clock clockwork.Clock, check *invariant.Checker, log logr.Logger) *Server {
	return &Server{deps: deps, claims: claims, client: client, clock: clock, check: check, log: log, combine: outcome.Combine}
}

// Serve handles job to its outcome. A nil refusal means that the complete response
// went to sink. After a refusal, sink may have received part of a response.
func (s *Server) Serve(ctx context.Context, job *Job, sink Sink) *outcome.Refusal {
	ctx, cancel := context.WithTimeout(ctx, job.Remaining(s.clock.Now()))
	defer cancel()
	if job.Kind.NonIdempotent && job.IdempotencyKey != "" {
		return s.serveClaimed(ctx, job, sink)
	}
	return s.runAudited(ctx, job, sink, nil)
}

// progress is the state of a job over all its attempts.
type progress struct {
	rounds         int // including those that sent nothing
	dispatched     int // attempts that passed the checks before sending
	excluded       []string
	run            outcome.Run
	stream         streamProgress
	mayHaveReached int // attempts whose request may have reached an endpoint
}

// attempts returns the progress in the form that the retry rules use. An event
// stream does not count as Streamed: a retry continues after the events passed on.
func (p *progress) attempts(job *Job, out *responseWriter, now time.Time) *retry.Attempts {
	return &retry.Attempts{
		Kind: job.Kind, Run: p.run, Dispatched: p.dispatched, Streamed: out.headSent && !job.Stream, Remaining: job.Remaining(now),
	}
}

// run makes attempts until one succeeds or no further one is allowed.
func (s *Server) run(ctx context.Context, job *Job, out *responseWriter, claim Claim) *outcome.Refusal {
	state := &progress{run: outcome.RunNot}
	for {
		state.rounds++
		refusal := s.attemptOnce(ctx, job, state, out, claim)
		if refusal == nil {
			return nil
		}
		state.run = s.combine(state.run, refusal.Run)
		if !s.mayRetry(ctx, job, state, out, refusal) {
			final := s.finalRefusal(ctx, job, state, refusal)
			s.checkRefusal(job, state, final)
			return final
		}
	}
}

// mayRetry decides whether to retry after a failed attempt.
func (s *Server) mayRetry(ctx context.Context, job *Job, state *progress, out *responseWriter, refusal *outcome.Refusal) bool {
	if ctx.Err() != nil || state.rounds >= maxRounds || !retryable(refusal.Code) {
		return false
	}
	return state.attempts(job, out, s.clock.Now()).CheckRetry() == outcome.OK
}

// retryable reports whether a refusal with code may be retried at another endpoint.
func retryable(code outcome.Code) bool {
	switch code {
	case outcome.EndpointRefused, outcome.EndpointFailed, outcome.EndpointSilent,
		outcome.EndpointOut, outcome.AnswerTruncated, outcome.AnswerCrossed:
		return true
	default:
		return false
	}
}

// finalRefusal returns the last refusal, changed so that it covers all attempts.
func (s *Server) finalRefusal(ctx context.Context, job *Job, state *progress, refusal *outcome.Refusal) *outcome.Refusal {
	final := *refusal
	final.Run = state.run
	if context.Cause(ctx) == context.DeadlineExceeded {
		final.Code = outcome.DeadlinePassed
		if final.Run == outcome.RunNot {
			final.Code = outcome.DeadlineTooShort
		}
	}
	s.log.V(1).Info("request failed", "request", job.ID, "attempts", state.dispatched,
		"code", int(final.Code), "run", final.Run.String(), "detail", final.Detail)
	return &final
}

// attemptOnce makes one attempt at one endpoint, or two if it is hedged.
func (s *Server) attemptOnce(ctx context.Context, job *Job, state *progress, out *responseWriter, claim Claim) *outcome.Refusal {
	first, refusal := s.prepare(ctx, job, state)
	if refusal != nil {
		return refusal
	}
	if claim != nil && !claim.MayDispatch() {
		first.release()
		return outcome.NotRun(outcome.ClaimFailed, "the request was given up before it was sent")
	}
	winner, refusal := s.dispatch(ctx, job, state, out, first)
	if refusal != nil {
		return refusal
	}
	defer winner.release()
	refusal = s.passResponse(job, state, out, winner)
	if refusal != nil {
		state.excluded = append(state.excluded, winner.name())
		s.afterFailure(job, winner, refusal)
	}
	return refusal
}

// prepare gets a permit and makes the last checks before a request is sent. A
// retry draws on the retry budget.
func (s *Server) prepare(ctx context.Context, job *Job, state *progress) (*attempt, *outcome.Refusal) {
	permit, refusal := s.deps.Acquire(ctx, job, state.excluded)
	if refusal != nil {
		return nil, refusal
	}
	a := &attempt{permit: permit, result: &Result{}}
	if state.dispatched > 0 && !s.deps.TakeRetry(a.name()) {
		a.release()
		return nil, outcome.NotRun(outcome.RetryBudgetSpent, "endpoint %s", a.name())
	}
	now := s.clock.Now()
	if refusal := permit.MayDispatch(now); refusal != nil {
		state.excluded = append(state.excluded, a.name())
		a.release()
		return nil, refusal
	}
	state.dispatched++
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.request = s.request(job, state.dispatched, permit, now)
	return a, nil
}

func (s *Server) request(job *Job, attempt int, permit Permit, now time.Time) *endpoint.Request {
	return &endpoint.Request{
		ID:               job.ID + "." + strconv.Itoa(attempt),
		Address:          permit.Endpoint().Address,
		Method:           job.Method,
		Path:             job.Path,
		Header:           job.Header,
		Body:             job.Body,
		Priority:         int(job.Kind.Worth),
		Timeout:          job.Remaining(now),
		Session:          job.Session(),
		NonIdempotent:    !job.Idempotent(),
		FirstByteTimeout: job.Kind.FirstByte.Std(),
		IdleTimeout:      job.Kind.BetweenBytes.Std(),
	}
}

// passResponse passes the response of an attempt on to the caller.
func (s *Server) passResponse(job *Job, state *progress, out *responseWriter, a *attempt) *outcome.Refusal {
	defer func() { _ = a.response.Body.Close() }()
	s.checkRequestID(job, a)
	x := &exchange{job: job, state: state, out: out, request: a.request, response: a.response, result: a.result, sent: a.sentAt, name: a.name()}
	var refusal *outcome.Refusal
	if job.Stream && a.response.Status == http.StatusOK {
		refusal = s.passStream(a.ctx, x)
	} else {
		refusal = s.passBody(a.ctx, x)
	}
	if refusal == nil {
		a.result.Completed = true
		s.reportPlacement(x)
	} else {
		a.result.Failed = isEndpointFault(refusal.Code)
	}
	return refusal
}

// exchange is the request and response of one attempt, while it is passed on.
type exchange struct {
	job      *Job
	state    *progress
	out      *responseWriter
	request  *endpoint.Request
	response *endpoint.Response
	result   *Result
	sent     time.Time
	name     string // name of the endpoint
}

// isEndpointFault reports whether a refusal counts against the endpoint.
func isEndpointFault(code outcome.Code) bool {
	switch code {
	case outcome.EndpointFailed, outcome.EndpointSilent, outcome.AnswerTruncated, outcome.AnswerCrossed:
		return true
	default:
		return false
	}
}

// afterFailure cancels what a model engine may still be running and, after a
// failure that a crash may have caused, reports that.
func (s *Server) afterFailure(job *Job, a *attempt, refusal *outcome.Refusal) {
	if !a.result.Dispatched {
		return
	}
	if refusal.Code == outcome.EndpointFailed || refusal.Code == outcome.AnswerTruncated {
		s.deps.Crashed(job, a.name(), a.result.Incarnation)
	}
	s.cancelAtEndpoint(job, a)
}

// cancelAtEndpoint tells a model engine that the response is not needed any more.
func (s *Server) cancelAtEndpoint(job *Job, a *attempt) {
	if job.Kind.Model == "" {
		return
	}
	s.deps.Background(func() {
		_ = s.client.Cancel(context.Background(), a.request.Address, a.request.ID)
	})
}
