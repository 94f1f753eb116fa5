package candidates

import (
	"sync"
	"sync/atomic"
	"time"
)

// Load is the load of an endpoint as reported in a permit reply.
type Load struct {
	Permits     int // permits held
	Cap         int // permits allowed
	Queue       int // requests waiting at the admission owner
	Cold        bool
	Incarnation uint64
}

const (
	// hintTTL is the age at which a load hint is ignored.
	hintTTL = 2 * time.Second
	// defaultHold is the assumed hold time of a permit before any was measured at
	// the endpoint.
	defaultHold = 250 * time.Millisecond
	// maxHoldFactor bounds the hold times that are averaged, as a multiple of the
	// average: hold times of paused or lost requests are no estimate for others.
	maxHoldFactor = 4
	// holdWeight is the weight of the newest hold time in the moving average.
	holdWeight = 0.2
)

// hint is what this router knows of one endpoint.
type hint struct {
	blockedUntil atomic.Int64 // Unix time in nanoseconds: no new work before it
	draining     atomic.Bool

	mu     sync.Mutex
	load   Load
	loadAt time.Time
	hold   time.Duration // moving average of the time a permit is held
}

// Hints holds what this router knows of the endpoints, from permit replies, releases
// and its circuit breakers. It is safe for concurrent use.
type Hints struct {
	mu     sync.RWMutex
	byName map[string]*hint
}

// NewHints returns Hints without entries.
func NewHints() *Hints {
	return &Hints{byName: make(map[string]*hint)}
}

// hintOf returns the hint of the named endpoint and creates it if necessary.
func (h *Hints) hintOf(name string) *hint {
	h.mu.RLock()
	found := h.byName[name]
	h.mu.RUnlock()
	if found != nil {
		return found
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if found = h.byName[name]; found == nil {
		found = &hint{}
		h.byName[name] = found
	}
	return found
}

// SetLoad stores the load of endpoint from a permit reply.
func (h *Hints) SetLoad(now time.Time, endpoint string, load Load) {
	entry := h.hintOf(endpoint)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if load.Incarnation == 0 { // unknown
		load.Incarnation = entry.load.Incarnation
	}
	entry.load = load
	entry.loadAt = now
}

// RecordHold records that a permit for endpoint was held for hold until its
// request completed.
func (h *Hints) RecordHold(endpoint string, hold time.Duration) {
	entry := h.hintOf(endpoint)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.hold == 0 {
		entry.hold = hold
		return
	}
	hold = min(hold, maxHoldFactor*entry.hold)
	entry.hold += time.Duration(holdWeight * float64(hold-entry.hold))
}

// Block keeps new work from endpoint until the given time, for example while its
// circuit breaker is open. A zero time ends the block.
func (h *Hints) Block(endpoint string, until time.Time) {
	nanos := int64(0)
	if !until.IsZero() {
		nanos = until.UnixNano()
	}
	h.hintOf(endpoint).blockedUntil.Store(nanos)
}

// SetDraining records whether endpoint reported that it is draining.
func (h *Hints) SetDraining(endpoint string, draining bool) {
	h.hintOf(endpoint).draining.Store(draining)
}

// Incarnation returns the last incarnation seen of endpoint, or 0.
func (h *Hints) Incarnation(endpoint string) uint64 {
	entry := h.hintOf(endpoint)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.load.Incarnation
}

// usable reports whether, for all this router knows, the endpoint may get new work.
func (e *hint) usable(nowNanos int64) bool {
	return !e.blocked(nowNanos) && !e.draining.Load()
}

// blocked reports whether Block keeps new work from the endpoint.
func (e *hint) blocked(nowNanos int64) bool {
	return e.blockedUntil.Load() > nowNanos
}

// hintState is a hint as read at one instant.
type hintState struct {
	load   Load
	recent bool          // the load is younger than hintTTL
	age    time.Duration // of the load
	hold   time.Duration
}

func (e *hint) read(now time.Time) hintState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := hintState{load: e.load, hold: e.hold}
	s.age = now.Sub(e.loadAt)
	s.recent = !e.loadAt.IsZero() && s.age < hintTTL
	if s.hold == 0 {
		s.hold = defaultHold
	}
	return s
}

// expectedWait estimates how long a request waits for a permit. It assumes that
// a permit is released every hold/cap, also since the load was reported.
func (s *hintState) expectedWait() time.Duration {
	if !s.recent || s.load.Permits < s.load.Cap {
		return 0
	}
	ahead := s.load.Queue + 1 + s.load.Permits - s.load.Cap
	wait := s.hold * time.Duration(ahead) / time.Duration(max(s.load.Cap, 1))
	return max(wait-s.age, 0)
}
