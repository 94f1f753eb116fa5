package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/standin/fault"
)

// refusal says why a request was not run.
type refusal struct {
	status int
	text   string
}

// submit takes a request in, or refuses it as not run.
func (e *Engine) submit(s *sequence) *refusal {
	e.mu.Lock()
	refused := e.refusalLocked(s)
	if refused != nil {
		e.record.Refused++
		e.mu.Unlock()
		return refused
	}
	overrun := e.takeLocked(s)
	e.mu.Unlock()
	e.signal()
	if limit := e.options.FallsOverBy; limit > 0 && overrun >= limit {
		e.Crash("overload")
	}
	return nil
}

func (e *Engine) refusalLocked(s *sequence) *refusal {
	switch {
	case e.down || e.leaving || e.serving.loading:
		return &refusal{http.StatusServiceUnavailable, "the engine takes no new work"}
	case e.serving.model != "" && s.model != "" && s.model != e.serving.model:
		return &refusal{http.StatusNotFound, "the engine serves another model"}
	case e.options.QueueLimit > 0 && len(e.queue) >= e.options.QueueLimit:
		return &refusal{http.StatusServiceUnavailable, "the queue is full"}
	}
	return nil
}

// takeLocked queues s and returns by how much the requests in progress now
// exceed the true capacity.
func (e *Engine) takeLocked(s *sequence) int {
	e.pruneLocked()
	e.arrivals++
	s.arrival = e.arrivals
	s.takenAt = e.clock.Now()
	s.watchers = 1
	e.sequences[s.id] = s
	e.queue = insertByPriority(e.queue, s)
	inProgress := len(e.queue) + len(e.batch)
	e.record.addArrival(s, e.clock.Now(), e.boot, inProgress, &e.warmth)
	e.sampleLocked()
	return inProgress - e.warmth.capacity()
}

// pruneLocked forgets finished streams that are no longer kept.
func (e *Engine) pruneLocked() {
	oldest := e.clock.Now().Add(-e.options.KeepFinished)
	for len(e.kept) > 0 && e.kept[0].finishedAt.Before(oldest) {
		if s := e.kept[0]; e.sequences[s.id] == s {
			delete(e.sequences, s.id)
		}
		e.kept = e.kept[1:]
	}
}

// plan admits waiting requests and returns the time until the next event: the
// end of a step of the batch, or else the end of a prefill. A negative time
// means that there is nothing to wait for.
func (e *Engine) plan() (wait time.Duration, stepping bool) {
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
	wait = e.options.TokenTime + time.Duration(ready-1)*e.options.TokenTimeEach
	return e.warmth.stretch(wait), true
}

func (e *Engine) admitLocked(now time.Time) {
	for len(e.queue) > 0 && len(e.batch) < e.warmth.capacity() {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.state = running
		if s.session != "" {
			s.cached = min(e.cache.get(s.session), s.prompt)
		}
		prefill := perSecond(s.prompt-s.cached, e.options.PrefillPerSecond)
		s.readyAt = now.Add(e.warmth.stretch(prefill))
		e.batch = append(e.batch, s)
		e.record.addPrompt(s)
		e.sampleLocked()
		s.notify()
	}
}

// perSecond returns the time that n units take at a rate; 0 is no time.
func perSecond(n, rate int) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(rate)
}

// step gives every request that has its prompt computed one token.
func (e *Engine) step() {
	e.mu.Lock()
	now := e.clock.Now()
	poisoned := false
	for _, s := range slices.Clone(e.batch) {
		if s.readyAt.After(now) {
			continue
		}
		poisoned = poisoned || s.poison
		s.produced++
		if s.produced == 1 {
			e.firstMs = float64(now.Sub(s.takenAt).Microseconds()) / 1000
		}
		if s.produced == len(s.tokens) {
			e.finishLocked(s, now)
		}
		s.notify()
	}
	e.mu.Unlock()
	if poisoned {
		e.Crash("poison")
	}
}

func (e *Engine) finishLocked(s *sequence, now time.Time) {
	s.state = finished
	s.finishedAt = now
	e.batch = remove(e.batch, s)
	e.kept = append(e.kept, s)
	e.completed++
	e.warmth.done++
	e.record.Completed++
	e.storeLocked(s.session, s.prompt+messageTokens(answerBytes(s)))
	e.sampleLocked()
}

func answerBytes(s *sequence) int {
	n := 0
	for _, token := range s.tokens {
		n += len(token)
	}
	return n
}

// storeLocked puts a prefix into the cache and publishes what changed.
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

// cancelAbandonedLocked cancels the requests that nobody has waited for
// longer than the grace for resuming.
func (e *Engine) cancelAbandonedLocked(now time.Time) {
	for _, s := range slices.Concat(e.batch, e.queue) {
		if s.watchers == 0 && now.Sub(s.leftAt) >= e.options.ResumeGrace {
			e.cancelLocked(s)
		}
	}
}

// cancelLocked ends a request that is in progress.
func (e *Engine) cancelLocked(s *sequence) bool {
	if s.state != queued && s.state != running {
		return false
	}
	s.state = cancelled
	e.queue = remove(e.queue, s)
	e.batch = remove(e.batch, s)
	delete(e.sequences, s.id)
	e.record.Cancelled++
	e.sampleLocked()
	s.notify()
	return true
}

// look returns the progress of s from token offset on.
func (e *Engine) look(s *sequence, offset int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.progressFrom(offset)
}

// detach tells that a connection no longer waits for s.
func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	s.watchers--
	s.leftAt = e.clock.Now()
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
		s.watchers++
	}
	return s, ok
}
