package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// leg is one attempt on its way: it holds a permit until it is released.
type leg struct {
	permit  Permit
	ctx     context.Context
	cancel  context.CancelFunc
	request *endpoint.Request
	result  *Result
	sent    time.Time
	answer  *endpoint.Response
	refusal *outcome.Refusal
}

// name returns the name of the endpoint.
func (l *leg) name() string {
	return l.permit.Endpoint().Name
}

// release gives the permit back. The leg is over.
func (l *leg) release() {
	if l.cancel != nil {
		l.cancel()
	}
	l.permit.Release(*l.result)
}

// race sends the first leg and, if no head of an answer has come after a
// while, a second one beside it. It returns the leg whose answer came first;
// the other is given up.
func (s *Server) race(ctx context.Context, job *Job, done *progress, out *relay, first *leg) (*leg, *outcome.Refusal) {
	after, hedged := done.attempts(job, out, s.clock.Now()).HedgeDelay()
	if !hedged {
		s.send(job, first)
		return s.decide(job, done, first)
	}
	heads := make(chan *leg, 2)
	go func() {
		s.send(job, first)
		heads <- first
	}()
	select {
	case l := <-heads:
		return s.decide(job, done, l)
	case <-s.clock.After(after):
	}
	return s.raceTwo(ctx, job, done, first, heads)
}

// raceTwo starts the second leg and takes the first answer of the two.
func (s *Server) raceTwo(ctx context.Context, job *Job, done *progress, first *leg, heads chan *leg) (*leg, *outcome.Refusal) {
	beside := &progress{made: done.made, run: outcome.RunNot, avoid: append([]string{first.name()}, done.avoid...)}
	hedging, stop := context.WithCancel(ctx)
	defer stop()
	prepared := make(chan *leg, 1)
	go func() {
		second, _ := s.prepare(hedging, job, beside)
		prepared <- second
	}()
	var second *leg
	select {
	case l := <-heads:
		stop()
		s.abandonPrepared(prepared)
		return s.decide(job, done, l)
	case second = <-prepared:
		if second == nil {
			return s.decide(job, done, <-heads)
		}
		// The second leg lives as long as the request, not as its preparation.
		second.ctx, second.cancel = context.WithCancel(ctx)
		done.made++
		go func() {
			s.send(job, second)
			heads <- second
		}()
	}
	l := <-heads
	if l.refusal == nil {
		loser := first
		if l == first {
			loser = second
		}
		s.abandon(job, heads, loser)
		return s.decide(job, done, l)
	}
	_, refusal := s.decide(job, done, l)
	done.run = s.combine(done.run, refusal.Run)
	return s.decide(job, done, <-heads)
}

// abandon gives up the leg that came second.
func (s *Server) abandon(job *Job, heads chan *leg, loser *leg) {
	loser.cancel()
	go func() {
		<-heads
		if loser.refusal == nil {
			_ = loser.answer.Body.Close()
		}
		loser.result.Failed = false
		if loser.result.Dispatched {
			s.cancelAtEndpoint(job, loser)
		}
		loser.release()
	}()
}

// abandonPrepared gives back the permit of a second leg that is not needed.
func (s *Server) abandonPrepared(prepared chan *leg) {
	go func() {
		if second := <-prepared; second != nil {
			second.release()
		}
	}()
}

// send sends a leg's request and waits for the head of the answer.
func (s *Server) send(job *Job, l *leg) {
	l.sent = s.clock.Now()
	l.answer, l.refusal = s.client.Do(l.ctx, l.request)
	if l.refusal != nil {
		l.result.Dispatched = l.refusal.Run != outcome.RunNot
		l.result.Failed = endpointAtFault(l.refusal.Code)
		return
	}
	l.result.Dispatched = true
	l.result.Incarnation = l.answer.Incarnation
	if job.Kind.Model != "" && l.answer.Status >= http.StatusInternalServerError {
		_ = l.answer.Body.Close()
		l.result.Failed = true
		l.refusal = outcome.Unknown(outcome.EndpointFailed, "the endpoint answered status %d", l.answer.Status)
	}
}

// decide returns the leg if it has an answer. Otherwise the leg is over.
func (s *Server) decide(job *Job, done *progress, l *leg) (*leg, *outcome.Refusal) {
	if l.result.Dispatched {
		done.left++
	}
	if l.refusal == nil {
		return l, nil
	}
	done.avoid = append(done.avoid, l.name())
	s.afterFailure(job, l, l.refusal)
	l.release()
	return nil, l.refusal
}
