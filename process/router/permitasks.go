package router

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/forward"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/permits"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// permitWait is a request that waits for a result.
type permitWait struct {
	service   *permitService
	owner     string // address; "" is this router
	ownerName string
	results   chan permits.Result
	queuedAt  time.Time // of the last reply that it is queued; zero if there was none
}

// Acquire implements forward.Permits.
func (p *permitTable) Acquire(ctx context.Context, req forward.PermitRequest) (forward.Permit, *balance.Refusal, bool) {
	began := time.Now()
	s, ask, w := p.begin(began, req)
	if w == nil {
		return forward.Permit{}, nil, false
	}
	result, ok := p.await(ctx, s, ask.Number, w)
	for n := 1; ok && result.Missed && n < maxAsks; n++ {
		now, again := time.Now(), req
		again.Remaining = max(0, req.Remaining-now.Sub(began))
		_, nextAsk, next := p.beginElsewhere(now, again, w.ownerName)
		if next == nil {
			break
		}
		ask, w = nextAsk, next
		result, ok = p.await(ctx, s, ask.Number, w)
	}
	permit := forward.Permit{Service: s.name, Number: ask.Number, Owner: w.ownerName, OwnerAddr: w.owner, Waited: time.Since(began)}
	refusal := &balance.Refusal{Code: outcome.EndpointAtCap, RetryAfter: max(minPermitRetryAfter, result.RetryAfter), PriorityRank: req.PriorityRank}
	switch {
	case !ok:
		permit.Result = forward.PermitLeft
	case result.Verdict == permits.Granted:
		permit.Result, refusal = forward.PermitGranted, nil
		permit.Endpoint = balance.Assignment{ID: result.Endpoint, Started: result.Started}
	case result.Verdict == permits.Refused:
		permit.Result = forward.PermitRefused
	default:
		permit.Result, refusal = forward.PermitNone, nil
		if result.Missed {
			permit.Result = forward.PermitUnanswered
		}
	}
	p.event(forward.PermitEvent(permit.Result))
	if refusal != nil {
		p.r.endpoints.RecordUnassigned(time.Now(), req.Request)
	}
	return permit, refusal, permit.Result != forward.PermitUnanswered && permit.Result != forward.PermitNone
}

// begin sends the ask of a request, and returns nil if it needs no permit or none can be had.
func (p *permitTable) begin(now time.Time, req forward.PermitRequest) (*permitService, permits.Ask, *permitWait) {
	return p.beginElsewhere(now, req, "")
}

// beginElsewhere is begin unless a certain router owns the permits.
func (p *permitTable) beginElsewhere(now time.Time, req forward.PermitRequest, not string) (*permitService, permits.Ask, *permitWait) {
	if !p.wanted(now) {
		return nil, permits.Ask{}, nil
	}
	p.mu.Lock()
	defer p.unlock()
	s := p.service(now, req.Service)
	if s == nil || !s.used || s.owner.Name == "" || s.owner.Name == not {
		return nil, permits.Ask{}, nil
	}
	exclude, slots := p.r.endpoints.PermitExclusions(now, req.Request)
	if slots == 0 {
		return nil, permits.Ask{}, nil
	}
	ask, ok := s.asker.Ask(now, permits.Ask{Rank: req.PriorityRank, Workspace: shortHash(req.Workspace), Class: shortHash(req.Class), Request: shortHash(req.ID),
		Objective: req.Remaining, Wait: time.Duration(maxPermitWaitShare * float64(req.Remaining)), Return: req.Left / returnFraction, Exclude: exclude, Zone: p.r.s.Zone})
	if !ok {
		p.event(forward.PermitPaused)
		return nil, permits.Ask{}, nil
	}
	p.event(forward.PermitAsked)
	w := &permitWait{service: s, owner: s.owner.Addr, ownerName: s.owner.Name, results: make(chan permits.Result, 1)}
	p.waits[ask.Number] = w
	p.sendAsk(now, ask, w.owner)
	p.setTimer(now, s)
	return s, ask, w
}

// await returns the result of an ask, or false if the request ended before.
func (p *permitTable) await(ctx context.Context, s *permitService, number int64, w *permitWait) (permits.Result, bool) {
	select {
	case r := <-w.results:
		return r, true
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.unlock()
	if done, ok := s.asker.Cancel(number); ok {
		delete(p.waits, number)
		p.sendDone(time.Now(), done, w.owner)
		return permits.Result{}, false
	}
	return <-w.results, true // it came at the same time
}

// Release implements forward.Permits.
func (p *permitTable) Release(permit forward.Permit, answered bool, load forward.Load, took time.Duration) {
	p.mu.Lock()
	defer p.unlock()
	p.sendDone(time.Now(), permits.Done{Number: permit.Number, Service: permit.Service, Endpoint: permit.Endpoint.ID, Started: permit.Endpoint.Started,
		Answered: answered, Load: permits.Load(load), Took: took}, permit.OwnerAddr)
}

func (p *permitTable) sendAsk(now time.Time, ask permits.Ask, to string) {
	if to == "" {
		p.ask(now, ask, "")
		return
	}
	p.out = append(p.out, permitMessage{peers.Permit{Ask: &ask}, to})
}

func (p *permitTable) sendDone(now time.Time, done permits.Done, to string) {
	if to == "" {
		p.done(now, done, "")
		return
	}
	p.out = append(p.out, permitMessage{peers.Permit{Done: &done}, to})
}

// reply handles the reply to an ask of this router.
func (p *permitTable) reply(now time.Time, r permits.Reply, from string) {
	index := (r.Number - p.r.incarnation) >> askNumberBits
	if index < 0 || index >= int64(len(p.byIndex)) {
		return // to an earlier process
	}
	s := p.byIndex[index]
	if w := p.waits[r.Number]; w != nil && r.Queued {
		if w.queuedAt.IsZero() {
			s.queued++
			p.event(forward.PermitQueued)
		}
		w.queuedAt = now
	}
	result, ended, back := s.asker.Reply(now, r)
	if ended {
		p.end(s, result)
	}
	if back != nil {
		p.sendDone(now, *back, from)
	}
	p.setTimer(now, s)
}

// end passes the result of an ask on to its request.
func (p *permitTable) end(s *permitService, r permits.Result) {
	w := p.waits[r.Number]
	if w == nil {
		return
	}
	delete(p.waits, r.Number)
	switch {
	case r.Missed:
		s.unanswered++
	case r.Verdict == permits.Refused:
		s.refused++
	}
	w.results <- r // buffered; there is one result
}

// expireAsks ends the asks of a service that waited too long.
func (p *permitTable) expireAsks(now time.Time, s *permitService) {
	p.mu.Lock()
	defer p.unlock()
	s.timerAt = time.Time{}
	e := s.asker.Expire(now)
	for _, ask := range e.Repeat {
		if w := p.waits[ask.Number]; w != nil {
			p.sendAsk(now, ask, w.owner)
		}
	}
	for _, done := range e.Dones {
		if w := p.waits[done.Number]; w != nil {
			p.sendDone(now, done, w.owner)
		}
	}
	for _, r := range e.Results {
		p.end(s, r)
	}
	p.endSilent(now, s)
	p.setTimer(now, s)
}

// endSilent ends the queued asks whose owner no longer replies, so that their requests go on before
// the time that they may wait is over. It withdraws them in case the owner is only slow.
func (p *permitTable) endSilent(now time.Time, s *permitService) {
	for number, w := range p.waits {
		if w.service != s || w.queuedAt.IsZero() || now.Sub(w.queuedAt) < queuedReplyTimeout {
			continue
		}
		if done, ok := s.asker.Cancel(number); ok {
			p.sendDone(now, done, w.owner)
			p.end(s, permits.Result{Number: number, Missed: true})
		}
	}
}
