package candidates

import (
	"sync"
	"sync/atomic"
	"time"
)

// Load is what a permit reply tells of an endpoint.
type Load struct {
	Permits     int // permits held
	Cap         int // permits allowed
	Queue       int // requests waiting at the owner
	Cold        bool
	Incarnation uint64
}

const (
	// hintLife is the age at which a load hint is no longer used.
	hintLife = 2 * time.Second
	// defaultHold is the assumed time that a permit is held before any was
	// seen at an endpoint.
	defaultHold = 250 * time.Millisecond
	// maxHoldRise bounds the holds that are averaged, as a multiple of the
	// average: those of requests that were paused or lost say little of others.
	maxHoldRise = 4
	// holdWeight is the weight of the newest hold in the moving average.
	holdWeight = 0.2
)

// hint is what this router has learned of one endpoint.
type hint struct {
	blockedUntil atomic.Int64 // Unix time in nanoseconds: no new work before it
	leaving      atomic.Bool

	mu     sync.Mutex
	load   Load
	loadAt time.Time
	hold   time.Duration // moving average of the time a permit is held
}

// Hints is what this router has learned of the endpoints, from permit replies,
// releases and its circuit breakers. It is safe for concurrent use.
type Hints struct {
	mu     sync.RWMutex
	byName map[string]*hint
}

// NewHints returns an empty table.
func NewHints() *Hints {
	return &Hints{byName: make(map[string]*hint)}
}

// of returns the hint of the endpoint called name.
func (h *Hints) of(name string) *hint {
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

// SetLoad stores the load that a permit reply told of endpoint.
func (h *Hints) SetLoad(now time.Time, endpoint string, load Load) {
	entry := h.of(endpoint)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if load.Incarnation == 0 {
		load.Incarnation = entry.load.Incarnation
	}
	entry.load = load
	entry.loadAt = now
}

// RecordHold tells that a permit for endpoint was held for hold until its request
// was complete.
func (h *Hints) RecordHold(endpoint string, hold time.Duration) {
	entry := h.of(endpoint)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.hold == 0 {
		entry.hold = hold
		return
	}
	hold = min(hold, maxHoldRise*entry.hold)
	entry.hold += time.Duration(holdWeight * float64(hold-entry.hold))
}

// Block keeps new work from endpoint until until, for example while its
// circuit breaker is open. A zero until ends the block.
func (h *Hints) Block(endpoint string, until time.Time) {
	nanos := int64(0)
	if !until.IsZero() {
		nanos = until.UnixNano()
	}
	h.of(endpoint).blockedUntil.Store(nanos)
}

// SetDraining tells whether endpoint said that it is leaving.
func (h *Hints) SetDraining(endpoint string, leaving bool) {
	h.of(endpoint).leaving.Store(leaving)
}

// Incarnation returns the last boot number that was seen of endpoint, or 0.
func (h *Hints) Incarnation(endpoint string) uint64 {
	entry := h.of(endpoint)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.load.Incarnation
}

// usable reports whether the endpoint may get new work, as far as this router
// has learned.
func (e *hint) usable(nowNanos int64) bool {
	return !e.blocked(nowNanos) && !e.leaving.Load()
}

// blocked reports whether the endpoint's circuit breaker is open.
func (e *hint) blocked(nowNanos int64) bool {
	return e.blockedUntil.Load() > nowNanos
}

// state is a hint as read at one time.
type state struct {
	load  Load
	known bool          // the load is recent
	age   time.Duration // of the load
	hold  time.Duration
}

func (e *hint) read(now time.Time) state {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := state{load: e.load, hold: e.hold}
	s.age = now.Sub(e.loadAt)
	s.known = !e.loadAt.IsZero() && s.age < hintLife
	if s.hold == 0 {
		s.hold = defaultHold
	}
	return s
}

// wait estimates how long a request waits for a permit. Permits are given back
// one by one, on average one per hold/cap, since the load was told.
func (s *state) wait() time.Duration {
	if !s.known || s.load.Permits < s.load.Cap {
		return 0
	}
	ahead := s.load.Queue + 1 + s.load.Permits - s.load.Cap
	wait := s.hold * time.Duration(ahead) / time.Duration(max(s.load.Cap, 1))
	return max(wait-s.age, 0)
}
