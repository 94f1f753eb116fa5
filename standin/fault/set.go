package fault

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Fault is an injected fault with its parameters.
type Fault struct {
	Name Name
	// Probability is the chance that the fault triggers at a step; 0 means 1.
	Probability float64
	// Count is the number of times it triggers before it is switched off; 0
	// means no limit.
	Count int
	// For is how long it stays on; 0 means until it is switched off.
	For time.Duration
	// Delay is the time by which Slow and Late delay a response.
	Delay time.Duration
}

// Set holds the faults of one stand-in. It is safe for concurrent use.
type Set struct {
	clock clockwork.Clock

	mu        sync.Mutex
	rng       *rand.Rand
	active    map[Name]*activeFault
	triggered map[Name]int
}

type activeFault struct {
	fault     Fault
	since     time.Time
	remaining int // times left if fault.Count > 0
}

// NewSet returns a Set without faults. The seed decides at which steps faults
// with a probability trigger.
func NewSet(clock clockwork.Clock, seed uint64) *Set {
	return &Set{
		clock:     clock,
		rng:       rand.New(rand.NewPCG(seed, 0x6661756c74)), // ASCII "fault"
		active:    make(map[Name]*activeFault),
		triggered: make(map[Name]int),
	}
}

// On switches f on, replacing an earlier fault of the same name.
func (s *Set) On(f Fault) error {
	if !known(f.Name) {
		return errors.Errorf("unknown fault %q", f.Name)
	}
	if f.Probability < 0 || f.Probability > 1 {
		return errors.Errorf("fault %s: probability %v is not within 0 and 1", f.Name, f.Probability)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[f.Name] = &activeFault{fault: f, since: s.clock.Now(), remaining: f.Count}
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

// Triggered returns how often the fault of this name has triggered.
func (s *Set) Triggered(name Name) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.triggered[name]
}

// Trigger reports whether the fault of this name occurs at this step, and with
// which parameters. It counts the occurrence.
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
		a.remaining--
		if a.remaining == 0 {
			delete(s.active, name)
		}
	}
	s.triggered[name]++
	return a.fault, true
}
