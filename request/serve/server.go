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

// maxTries bounds the tries of one request, those that end before anything is
// sent included.
const maxTries = 8

// Server serves requests. It is safe for concurrent use.
type Server struct {
	fleet  Fleet
	claims Claims
	client Client
	clock  clockwork.Clock
	check  *invariant.Checker
	log    logr.Logger

	// combine is outcome.Combine; tests replace it to see the check on what
	// refusals say fail.
	combine func(a, b outcome.Run) outcome.Run
}

// NewServer returns a Server.
func NewServer(fleet Fleet, claims Claims, client Client, clock clockwork.Clock, check *invariant.Checker, log logr.Logger) *Server {
	return &Server{fleet: fleet, claims: claims, client: client, clock: clock, check: check, log: log, combine: outcome.Combine}
}

// Serve takes job to its outcome. A nil refusal means that the whole answer
// went to sink. After a refusal sink may have got a part of an answer.
func (s *Server) Serve(ctx context.Context, job *Job, sink Sink) *outcome.Refusal {
	ctx, cancel := context.WithTimeout(ctx, job.Remaining(s.clock.Now()))
	defer cancel()
	if job.Kind.NonIdempotent && job.IdempotencyKey != "" {
		return s.serveClaimed(ctx, job, sink)
	}
	return s.audited(ctx, job, sink, nil)
}

// progress is what is known of a job over all its attempts.
type progress struct {
	tries  int // also those that sent nothing
	made   int // attempts that were dispatched
	avoid  []string
	run    outcome.Run
	stream streamed
	left   int // legs whose request may have reached an endpoint's work
}

// attempts returns the progress as the rules for retries see it. A stream that
// has begun can be joined to its repetition.
func (p *progress) attempts(job *Job, out *relay, now time.Time) *retry.Attempts {
	return &retry.Attempts{
		Kind: job.Kind, Run: p.run, Dispatched: p.made, Streamed: out.head && !job.Stream, Remaining: job.Remaining(now),
	}
}

// run makes attempts until one succeeds or no other is allowed.
func (s *Server) run(ctx context.Context, job *Job, out *relay, claim Claim) *outcome.Refusal {
	done := &progress{run: outcome.RunNot}
	for {
		done.tries++
		refusal := s.attempt(ctx, job, done, out, claim)
		if refusal == nil {
			return nil
		}
		done.run = s.combine(done.run, refusal.Run)
		if !s.mayTryAgain(ctx, job, done, out, refusal) {
			final := s.final(ctx, job, done, refusal)
			s.checkRefusal(job, done, final)
			return final
		}
	}
}

// mayTryAgain decides after a failed attempt.
func (s *Server) mayTryAgain(ctx context.Context, job *Job, done *progress, out *relay, refusal *outcome.Refusal) bool {
	if ctx.Err() != nil || done.tries >= maxTries || !retryable(refusal.Code) {
		return false
	}
	return done.attempts(job, out, s.clock.Now()).CheckRetry() == outcome.OK
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
	s.log.V(1).Info("request failed", "request", job.ID, "attempts", done.made,
		"code", int(final.Code), "run", final.Run.String(), "detail", final.Detail)
	return &final
}

// attempt makes one attempt at one endpoint, or at two if it is hedged.
func (s *Server) attempt(ctx context.Context, job *Job, done *progress, out *relay, claim Claim) *outcome.Refusal {
	first, refusal := s.prepare(ctx, job, done)
	if refusal != nil {
		return refusal
	}
	if claim != nil && !claim.MayDispatch() {
		first.release()
		return outcome.NotRun(outcome.ClaimFailed, "the request was given up before it was sent")
	}
	winner, refusal := s.race(ctx, job, done, out, first)
	if refusal != nil {
		return refusal
	}
	defer winner.release()
	refusal = s.pass(job, done, out, winner)
	if refusal != nil {
		done.avoid = append(done.avoid, winner.name())
		s.afterFailure(job, winner, refusal)
	}
	return refusal
}

// prepare gets a permit and makes the last checks before a request leaves. A
// repetition draws on the budget for retries.
func (s *Server) prepare(ctx context.Context, job *Job, done *progress) (*leg, *outcome.Refusal) {
	permit, refusal := s.fleet.Acquire(ctx, job, done.avoid)
	if refusal != nil {
		return nil, refusal
	}
	l := &leg{permit: permit, result: &Result{}}
	if done.made > 0 && !s.fleet.MayRetry(l.name()) {
		l.release()
		return nil, outcome.NotRun(outcome.RetryBudgetSpent, "endpoint %s", l.name())
	}
	now := s.clock.Now()
	if refusal := permit.MayDispatch(now); refusal != nil {
		done.avoid = append(done.avoid, l.name())
		l.release()
		return nil, refusal
	}
	done.made++
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.request = s.request(job, done.made, permit, now)
	return l, nil
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
		NonIdempotent:    !job.Repeatable(),
		FirstByteTimeout: job.Kind.FirstByte.Std(),
		IdleTimeout:      job.Kind.BetweenBytes.Std(),
	}
}

// pass passes the answer of a leg on to the caller.
func (s *Server) pass(job *Job, done *progress, out *relay, l *leg) *outcome.Refusal {
	defer func() { _ = l.answer.Body.Close() }()
	s.checkEcho(job, l)
	x := &exchangeState{job: job, done: done, out: out, request: l.request, answer: l.answer, result: l.result, sent: l.sent, name: l.name()}
	var refusal *outcome.Refusal
	if job.Stream && l.answer.Status == http.StatusOK {
		refusal = s.passStream(l.ctx, x)
	} else {
		refusal = s.passWhole(l.ctx, x)
	}
	if refusal == nil {
		l.result.Completed = true
		s.placed(x)
	} else {
		l.result.Failed = endpointAtFault(refusal.Code)
	}
	return refusal
}

// exchangeState is what passing on one answer needs.
type exchangeState struct {
	job     *Job
	done    *progress
	out     *relay
	request *endpoint.Request
	answer  *endpoint.Response
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
func (s *Server) afterFailure(job *Job, l *leg, refusal *outcome.Refusal) {
	if !l.result.Dispatched {
		return
	}
	if refusal.Code == outcome.EndpointFailed || refusal.Code == outcome.AnswerTruncated {
		s.fleet.Crashed(job, l.name(), l.result.Incarnation)
	}
	s.cancelAtEndpoint(job, l)
}

// cancelAtEndpoint tells a model engine that nobody waits any more.
func (s *Server) cancelAtEndpoint(job *Job, l *leg) {
	if job.Kind.Model == "" {
		return
	}
	s.fleet.Background(func() {
		_ = s.client.Cancel(context.Background(), l.request.Address, l.request.ID)
	})
}
