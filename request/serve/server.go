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
)

// maxAttempts bounds the attempts made for one request.
const maxAttempts = 6

// Server serves requests. It is safe for concurrent use.
type Server struct {
	fleet  Fleet
	claims Claims
	client *endpoint.Client
	clock  clockwork.Clock
	check  *invariant.Checker
	log    logr.Logger
}

// NewServer returns a Server.
func NewServer(fleet Fleet, claims Claims, client *endpoint.Client, clock clockwork.Clock, check *invariant.Checker, log logr.Logger) *Server {
	return &Server{fleet: fleet, claims: claims, client: client, clock: clock, check: check, log: log}
}

// Serve takes job to its outcome. A nil refusal means that the whole answer
// went to sink. After a refusal sink may have got a part of an answer.
func (s *Server) Serve(ctx context.Context, job *Job, sink Sink) *outcome.Refusal {
	ctx, cancel := context.WithTimeout(ctx, job.Left(s.clock.Now()))
	defer cancel()
	if job.Kind.NonIdempotent && job.Key != "" {
		return s.serveClaimed(ctx, job, sink)
	}
	return s.run(ctx, job, &relay{sink: sink}, nil)
}

// progress is what is known of a job over all its attempts.
type progress struct {
	attempt int
	avoid   []string
	run     outcome.Run
	stream  streamed
}

// run makes attempts until one succeeds or no other is allowed.
func (s *Server) run(ctx context.Context, job *Job, out *relay, claim Claim) *outcome.Refusal {
	done := &progress{run: outcome.RunNot}
	for {
		done.attempt++
		refusal := s.attempt(ctx, job, done, out, claim)
		if refusal == nil {
			return nil
		}
		done.run = outcome.Combine(done.run, refusal.Run)
		if !s.mayTryAgain(ctx, job, done, out, refusal) {
			return s.final(ctx, job, done, refusal)
		}
	}
}

// mayTryAgain decides after a failed attempt. A non-idempotent request is
// tried again only if no attempt can have run.
func (s *Server) mayTryAgain(ctx context.Context, job *Job, done *progress, out *relay, refusal *outcome.Refusal) bool {
	if ctx.Err() != nil || done.attempt >= maxAttempts {
		return false
	}
	if !retryable(refusal.Code) {
		return false
	}
	if done.run != outcome.RunNot && !job.Repeatable() {
		return false
	}
	if out.head && !job.Stream {
		return false
	}
	return s.fleet.MayRetry(job)
}

// retryable reports whether another endpoint may do better.
func retryable(code outcome.Code) bool {
	switch code {
	case outcome.EndpointRefused, outcome.EndpointFailed, outcome.EndpointSilent,
		outcome.EndpointOut, outcome.AnswerTruncated, outcome.AnswerCrossed:
		return true
	default:
		return false
	}
}

// final completes the last refusal, so that it is about all attempts.
func (s *Server) final(ctx context.Context, job *Job, done *progress, refusal *outcome.Refusal) *outcome.Refusal {
	final := *refusal
	final.Run = done.run
	if context.Cause(ctx) == context.DeadlineExceeded {
		final.Code = outcome.DeadlinePassed
		if final.Run == outcome.RunNot {
			final.Code = outcome.DeadlineTooShort
		}
	}
	s.log.V(1).Info("request failed", "request", job.ID, "attempts", done.attempt,
		"code", int(final.Code), "run", final.Run.String(), "detail", final.Detail)
	return &final
}

// attempt makes one attempt at one endpoint.
func (s *Server) attempt(ctx context.Context, job *Job, done *progress, out *relay, claim Claim) *outcome.Refusal {
	permit, refusal := s.fleet.Acquire(ctx, job, done.avoid)
	if refusal != nil {
		return refusal
	}
	result := &Result{}
	defer func() { permit.Release(*result) }()
	target := permit.Endpoint()
	now := s.clock.Now()
	if refusal := permit.MayDispatch(now); refusal != nil {
		done.avoid = append(done.avoid, target.Name)
		return refusal
	}
	if claim != nil && !claim.MayDispatch() {
		return outcome.NotRun(outcome.ClaimFailed, "the request was given up before it was sent")
	}
	request := s.request(job, done, permit, now)
	refusal = s.exchange(ctx, job, done, out, request, result, target.Name)
	if refusal != nil {
		done.avoid = append(done.avoid, target.Name)
		s.afterFailure(ctx, job, request, result, target.Name, refusal)
	}
	return refusal
}

func (s *Server) request(job *Job, done *progress, permit Permit, now time.Time) *endpoint.Request {
	return &endpoint.Request{
		ID:           job.ID + "." + strconv.Itoa(done.attempt),
		Address:      permit.Endpoint().Address,
		Method:       job.Method,
		Path:         job.Path,
		Header:       job.Header,
		Body:         job.Body,
		Priority:     int(job.Kind.Worth),
		Left:         job.Left(now),
		Session:      job.Session(),
		Once:         !job.Repeatable(),
		FirstByte:    job.Kind.FirstByte.Std(),
		BetweenBytes: job.Kind.BetweenBytes.Std(),
	}
}

// exchange sends the request and passes the answer on.
func (s *Server) exchange(ctx context.Context, job *Job, done *progress, out *relay, request *endpoint.Request, result *Result, name string) *outcome.Refusal {
	sent := s.clock.Now()
	answer, refusal := s.client.Do(ctx, request)
	if refusal != nil {
		result.Dispatched = refusal.Run != outcome.RunNot
		result.Failed = endpointAtFault(refusal.Code)
		return refusal
	}
	result.Dispatched = true
	result.Boot = answer.Boot
	defer func() { _ = answer.Body.Close() }()
	if job.Kind.Model != "" && answer.Status >= http.StatusInternalServerError {
		result.Failed = true
		return outcome.Unknown(outcome.EndpointFailed, "the endpoint answered status %d", answer.Status)
	}
	x := &exchangeState{job: job, done: done, out: out, request: request, answer: answer, result: result, sent: sent, name: name}
	if job.Stream && answer.Status == http.StatusOK {
		refusal = s.passStream(ctx, x)
	} else {
		refusal = s.passWhole(ctx, x)
	}
	if refusal == nil {
		result.Completed = true
		s.placed(x)
	} else {
		result.Failed = endpointAtFault(refusal.Code)
	}
	return refusal
}

// exchangeState is what passing on one answer needs.
type exchangeState struct {
	job     *Job
	done    *progress
	out     *relay
	request *endpoint.Request
	answer  *endpoint.Answer
	result  *Result
	sent    time.Time
	name    string // endpoint
}

// endpointAtFault reports whether a refusal speaks against the endpoint.
func endpointAtFault(code outcome.Code) bool {
	switch code {
	case outcome.EndpointFailed, outcome.EndpointSilent, outcome.AnswerTruncated, outcome.AnswerCrossed:
		return true
	default:
		return false
	}
}

// afterFailure cancels what the endpoint may still be running and reports a
// lost endpoint.
func (s *Server) afterFailure(ctx context.Context, job *Job, request *endpoint.Request, result *Result, name string, refusal *outcome.Refusal) {
	if !result.Dispatched {
		return
	}
	if refusal.Code == outcome.EndpointFailed || refusal.Code == outcome.AnswerTruncated {
		s.fleet.Crashed(job, name, result.Boot)
	}
	if job.Kind.Model == "" {
		return
	}
	s.fleet.Background(func() {
		_ = s.client.Cancel(ctx, request.Address, request.ID)
	})
}
