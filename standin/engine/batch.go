package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/standin/fault"
)

// refusal is the reason why a request was not run.
type refusal struct {
	status int
	text   string
}

// submit accepts a request, or refuses it as not run.
func (e *Engine) submit(s *sequence) *refusal {
	e.mu.Lock()
	refused := e.refusalLocked(s)
	if refused != nil {
		e.recorder.Refused++
		e.mu.Unlock()
		return refused
	}
	overrun := e.acceptLocked(s)
	e.mu.Unlock()
	e.signal()
	if limit := e.options.CrashOverrun; limit > 0 && overrun >= limit {
		e.Crash("overload")
	}
	return nil
}

func (e *Engine) refusalLocked(s *sequence) *refusal {
	switch {
	case e.down || e.draining || e.serving.loading:
		return &refusal{http.StatusServiceUnavailable, "the engine takes no new work"}
	case e.serving.model != "" && s.model != "" && s.model != e.serving.model:
		return &refusal{http.StatusNotFound, "the engine serves another model"}
	case e.options.QueueLimit > 0 && len(e.queue) >= e.options.QueueLimit:
		return &refusal{http.StatusServiceUnavailable, "the queue is full"}
	}
	return nil
}

// acceptLocked queues s and returns the number of requests in progress above the true capacity.
func (e *Engine) acceptLocked(s *sequence) int {
	e.pruneLocked()
	e.arrivals++
	s.arrival = e.arrivals
	s.acceptedAt = e.clock.Now()
	s.connections = 1
	e.sequences[s.id] = s
	e.queue = insertByPriority(e.queue, s)
	inProgress := len(e.queue) + len(e.batch)
	e.recorder.addArrival(s, e.clock.Now(), e.incarnation, inProgress, &e.warmup)
	e.sampleLocked()
	return inProgress - e.warmup.capacity()
}

// pruneLocked removes finished streams older than KeepFinished.
func (e *Engine) pruneLocked() {
	oldest := e.clock.Now().Add(-e.options.KeepFinished)
	for len(e.finished) > 0 && e.finished[0].finishedAt.Before(oldest) {
		if s := e.finished[0]; e.sequences[s.id] == s {
			delete(e.sequences, s.id)
		}
		e.finished = e.finished[1:]
	}
}

// advance cancels abandoned requests, admits waiting ones and returns the time
// until the next event: the end of a step of the batch (stepping is true), or else
// of a prefill. A negative time means that no event is due.
func (e *Engine) advance() (wait time.Duration, stepping bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.cancelAbandonedLocked(now)
	e.admitLocked(now)
	ready := 0
	wait = -1
	for _, s := range e.batch {
		left := s.readyAt.Sub(now)
		if left <= 0 {
			ready++
		} else if wait < 0 || left < wait {
			wait = left
		}
	}
	if ready == 0 {
		return wait, false
	}
	wait = e.options.TokenTime + time.Duration(ready-1)*e.options.TokenTimePerExtraRequest
	return e.warmup.slowed(wait), true
}

func (e *Engine) admitLocked(now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < e.warmup.capacity() {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.state = running
		if s.session != "" {
			s.cached = min(e.cache.get(s.session), s.prompt)
		}
		prefill := timeFor(s.prompt-s.cached, e.options.PrefillPerSecond)
		s.readyAt = now.Add(e.warmup.slowed(prefill))
		e.batch = append(e.batch, s)
		e.recorder.addPrompt(s)
		e.sampleLocked()
		s.notify()
	}
}

// timeFor returns the time that n units take at a rate; rate 0 takes no time.
func timeFor(n, rate int) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(rate)
}

// step produces one token for every request whose prompt is computed.
func (e *Engine) step() {
	e.mu.Lock()
	now := e.clock.Now()
	crash := false
	for _, s := range slices.Clone(e.batch) {
		if s.readyAt.After(now) {
			continue
		}
		crash = crash || s.crashes
		s.produced++
		if s.produced == 1 {
			e.firstTokenMs = float64(now.Sub(s.acceptedAt).Microseconds()) / 1000
		}
		if s.produced == len(s.tokens) {
			e.finishLocked(s, now)
		}
		s.notify()
	}
	e.mu.Unlock()
	if crash {
		e.Crash("poison")
	}
}

func (e *Engine) finishLocked(s *sequence, now time.Time) {
	s.state = finished
	s.finishedAt = now
	e.batch = remove(e.batch, s)
	e.finished = append(e.finished, s)
	e.completed++
	e.warmup.completed++
	e.recorder.Completed++
	e.storeLocked(s.session, s.prompt+messageTokens(responseBytes(s)))
	e.sampleLocked()
}

func responseBytes(s *sequence) int {
	n := 0
	for _, token := range s.tokens {
		n += len(token)
	}
	return n
}

// storeLocked puts a prefix into the cache and publishes the changes.
func (e *Engine) storeLocked(session string, tokens int) {
	if session == "" {
		return
	}
	stored, evicted := e.cache.put(session, tokens)
	for _, other := range evicted {
		e.publishLocked(other, 0)
	}
	if stored {
		e.publishLocked(session, tokens)
	}
}

func (e *Engine) publishLocked(session string, tokens int) {
	_, gap := e.faults.Trigger(fault.EventGap)
	e.events.add(e.clock.Now(), session, tokens, gap)
}

// cancelAbandonedLocked cancels the requests that have had no connection for ResumeGrace.
func (e *Engine) cancelAbandonedLocked(now time.Time) {
	for _, s := range slices.Concat(e.batch, e.queue) {
		if s.connections == 0 && now.Sub(s.detachedAt) >= e.options.ResumeGrace {
			e.cancelLocked(s)
		}
	}
}

// cancelLocked cancels a request in progress.
func (e *Engine) cancelLocked(s *sequence) bool {
	if s.state != queued && s.state != running {
		return false
	}
	s.state = cancelled
	e.queue = remove(e.queue, s)
	e.batch = remove(e.batch, s)
	delete(e.sequences, s.id)
	e.recorder.Cancelled++
	e.sampleLocked()
	s.notify()
	return true
}

// progressOf returns the progress of s, starting at token offset.
func (e *Engine) progressOf(s *sequence, offset int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.progressFrom(offset)
}

// detach removes a connection from s.
func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	s.connections--
	s.detachedAt = e.clock.Now()
	e.mu.Unlock()
	e.signal()
}

// attach finds a request for a connection that resumes it.
func (e *Engine) attach(id string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pruneLocked()
	s, ok := e.sequences[id]
	if ok {
		s.connections++
	}
	return s, ok
}
