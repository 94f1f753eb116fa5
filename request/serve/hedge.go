package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// attempt is one attempt in progress: it holds a permit until it is released.
type attempt struct {
	permit   Permit
	ctx      context.Context
	cancel   context.CancelFunc
	request  *endpoint.Request
	result   *Result
	sentAt   time.Time
	response *endpoint.Response
	refusal  *outcome.Refusal
}

// name returns the name of the endpoint.
func (a *attempt) name() string {
	return a.permit.Endpoint().Name
}

// release ends the attempt and releases its permit.
func (a *attempt) release() {
	if a.cancel != nil {
		a.cancel()
	}
	a.permit.Release(*a.result)
}

// dispatch sends the first attempt and, if no response head arrives within the
// hedge delay, a second one beside it. It returns the attempt whose response
// head arrives first; the other is canceled.
func (s *Server) dispatch(ctx context.Context, job *Job, state *progress, out *responseWriter, first *attempt) (*attempt, *outcome.Refusal) {
	after, hedged := state.attempts(job, out, s.clock.Now()).HedgeDelay()
	if !hedged {
		s.send(job, first)
		return s.endIfFailed(job, state, first)
	}
	results := make(chan *attempt, 2)
	go func() {
		s.send(job, first)
		results <- first
	}()
	select {
	case a := <-results:
		return s.endIfFailed(job, state, a)
	case <-s.clock.After(after):
	}
	return s.dispatchHedged(ctx, job, state, first, results)
}

// dispatchHedged starts the second attempt and returns the one whose response head
// arrives first.
func (s *Server) dispatchHedged(ctx context.Context, job *Job, state *progress, first *attempt, results chan *attempt) (*attempt, *outcome.Refusal) {
	hedgeState := &progress{dispatched: state.dispatched, run: outcome.RunNot, excluded: append([]string{first.name()}, state.excluded...)}
	prepareCtx, stop := context.WithCancel(ctx)
	defer stop()
	prepared := make(chan *attempt, 1)
	go func() {
		second, _ := s.prepare(prepareCtx, job, hedgeState)
		prepared <- second
	}()
	var second *attempt
	select {
	case a := <-results:
		stop()
		s.releasePrepared(prepared)
		return s.endIfFailed(job, state, a)
	case second = <-prepared:
		if second == nil {
			return s.endIfFailed(job, state, <-results)
		}
		// prepareCtx ends when this function returns; the attempt must last as long as the request.
		second.ctx, second.cancel = context.WithCancel(ctx)
		state.dispatched++
		go func() {
			s.send(job, second)
			results <- second
		}()
	}
	a := <-results
	if a.refusal == nil {
		loser := first
		if a == first {
			loser = second
		}
		s.cancelLoser(job, results, loser)
		return s.endIfFailed(job, state, a)
	}
	_, refusal := s.endIfFailed(job, state, a)
	state.run = s.combine(state.run, refusal.Run) // the other attempt may still succeed
	return s.endIfFailed(job, state, <-results)
}

// cancelLoser cancels the attempt that is not needed any more.
func (s *Server) cancelLoser(job *Job, results chan *attempt, loser *attempt) {
	loser.cancel()
	go func() {
		<-results
		if loser.refusal == nil {
			_ = loser.response.Body.Close()
		}
		loser.result.Failed = false
		if loser.result.Dispatched {
			s.cancelAtEndpoint(job, loser)
		}
		loser.release()
	}()
}

// releasePrepared releases the permit of a second attempt that is not needed.
func (s *Server) releasePrepared(prepared chan *attempt) {
	go func() {
		if second := <-prepared; second != nil {
			second.release()
		}
	}()
}

// send sends the request of an attempt and waits for the response head.
func (s *Server) send(job *Job, a *attempt) {
	a.sentAt = s.clock.Now()
	a.response, a.refusal = s.client.Do(a.ctx, a.request)
	if a.refusal != nil {
		a.result.Dispatched = a.refusal.Run != outcome.RunNot
		a.result.Failed = isEndpointFault(a.refusal.Code)
		return
	}
	a.result.Dispatched = true
	a.result.Incarnation = a.response.Incarnation
	if job.Kind.Model != "" && a.response.Status >= http.StatusInternalServerError {
		_ = a.response.Body.Close()
		a.result.Failed = true
		a.refusal = outcome.Unknown(outcome.EndpointFailed, "the endpoint answered status %d", a.response.Status)
	}
}

// endIfFailed returns the attempt if it has a response. Otherwise it ends the attempt.
func (s *Server) endIfFailed(job *Job, state *progress, a *attempt) (*attempt, *outcome.Refusal) {
	if a.result.Dispatched {
		state.mayHaveReached++
	}
	if a.refusal == nil {
		return a, nil
	}
	state.excluded = append(state.excluded, a.name())
	s.afterFailure(job, a, a.refusal)
	a.release()
	return nil, a.refusal
}
