package fault

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Fault is a fault that is switched on, with its parameters.
type Fault struct {
	Name Name
	// Probability is the chance that the fault strikes at a step; 0 means 1.
	Probability float64
	// Count is the number of times it strikes before it switches itself off;
	// 0 means no limit.
	Count int
	// For is how long it stays on; 0 means until it is switched off.
	For time.Duration
	// Delay is the time by which Slow and Late put off an answer.
	Delay time.Duration
}

// Set holds the faults of one stand-in. It is safe for concurrent use.
type Set struct {
	clock clockwork.Clock

	mu     sync.Mutex
	rng    *rand.Rand
	active map[Name]*activeFault
	hits   map[Name]int
}

type activeFault struct {
	fault Fault
	since time.Time
	left  int // strikes left if fault.Count > 0
}

// NewSet returns a Set with no fault switched on. The seed decides at which
// steps faults with a probability strike.
func NewSet(clock clockwork.Clock, seed uint64) *Set {
	return &Set{
		clock:  clock,
		rng:    rand.New(rand.NewPCG(seed, 0x6661756c74)),
		active: make(map[Name]*activeFault),
		hits:   make(map[Name]int),
	}
}

// On switches f on and replaces an earlier fault of the same name.
func (s *Set) On(f Fault) error {
	if !known(f.Name) {
		return errors.Errorf("unknown fault %q", f.Name)
	}
	if f.Probability < 0 || f.Probability > 1 {
		return errors.Errorf("fault %s: probability %v is not within 0 and 1", f.Name, f.Probability)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[f.Name] = &activeFault{fault: f, since: s.clock.Now(), left: f.Count}
	return nil
}

// Off switches the fault of this name off.
func (s *Set) Off(name Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, name)
}

// Clear switches all faults off.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.active)
}

// Hits returns how often the fault of this name has struck.
func (s *Set) Hits(name Name) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hits[name]
}

// Trigger reports whether the fault of this name strikes now, and with which
// parameters. It counts the strike.
func (s *Set) Trigger(name Name) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.active[name]
	if !ok {
		return Fault{}, false
	}
	if a.fault.For > 0 && s.clock.Since(a.since) >= a.fault.For {
		delete(s.active, name)
		return Fault{}, false
	}
	if p := a.fault.Probability; p > 0 && s.rng.Float64() >= p {
		return Fault{}, false
	}
	if a.fault.Count > 0 {
		a.left--
		if a.left == 0 {
			delete(s.active, name)
		}
	}
	s.hits[name]++
	return a.fault, true
}
