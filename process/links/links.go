package links

import (
	"sync"
	"time"
)

const (
	// failedEndpoints is the number of endpoints without a response that makes a service
	// lost. It is 1 while another service is lost.
	failedEndpoints = 2
	// trialTime is how long a request may be the only one that is sent to a service whose
	// endpoints accept connections again.
	trialTime = time.Second
	// trialsEnd is how long the service waits for such a request to respond before all
	// requests are sent to it.
	trialsEnd = 2 * time.Second
	// maxPending bounds the conclusions that wait for the cause of a failure.
	maxPending = 1024
)

// Change is a change of a service's state, for the log.
type Change struct {
	Service  string
	Lost     bool
	OwnFault bool // the endpoints responded to another router meanwhile
	After    time.Duration
}

type service struct {
	failed   map[string]bool // endpoints that failed since the last response
	provedAt time.Time       // last response

	lost     bool
	since    time.Time // when it was lost
	ownFault bool
	// connectsAt is when an endpoint accepted a connection again; zero before.
	connectsAt time.Time
	trialAt    time.Time
	reachedAt  time.Time // newest response that another router told of
	pending    []func()
}

// Table holds the state of the links to each service. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
	lost     int // services that are lost
}

// New returns a table of links that work.
func New() *Table { return &Table{services: make(map[string]*service)} }

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{failed: make(map[string]bool)}
		t.services[name] = s
	}
	return s
}

// Failed records that an endpoint accepted no connection or sent no response. endpoints is
// the number that the service has. It reports whether the service is lost by that.
func (t *Table) Failed(now time.Time, name, endpoint string, endpoints int) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.failed[endpoint] = true
	if s.lost {
		s.connectsAt = time.Time{}
		return Change{}, false
	}
	least := min(failedEndpoints, endpoints)
	if t.lost > 0 {
		least = 1
	}
	if len(s.failed) < least {
		return Change{}, false
	}
	s.lost, s.since, s.ownFault = true, now, false
	s.connectsAt, s.trialAt = time.Time{}, time.Time{}
	t.lost++
	return Change{Service: name, Lost: true}, true
}

// Proved records a response of the service. It returns the conclusions that the endpoints
// and not the links failed, to be carried out by the caller, and reports a change.
func (t *Table) Proved(now time.Time, name string) (conclusions []func(), c Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.provedAt = now
	if len(s.failed) > 0 {
		clear(s.failed)
	}
	if !s.lost {
		return nil, Change{}, false
	}
	s.lost = false
	t.lost--
	return s.takeConclusions(), Change{Service: name, OwnFault: s.ownFault, After: now.Sub(s.since)}, true
}

// Conclude keeps a conclusion until it is clear whether the links are at fault, or returns
// false if they are not. If they are, it is dropped.
func (t *Table) Conclude(name string, conclusion func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if !s.lost {
		return false
	}
	if !s.ownFault && len(s.pending) < maxPending {
		s.pending = append(s.pending, conclusion)
	}
	return true
}

// ProbeFailed records that no endpoint accepted a connection in a probe of all that began
// at a time, and reports whether that shows that the links are at fault.
func (t *Table) ProbeFailed(began time.Time, name string) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.connectsAt = time.Time{}
	if !s.lost || s.ownFault || !s.reachedAt.After(s.since) || !s.reachedAt.Before(began) {
		return Change{}, false
	}
	s.ownFault, s.pending = true, nil
	return Change{Service: name, Lost: true, OwnFault: true, After: began.Sub(s.since)}, true
}

// Connects records that an endpoint of a lost service accepts connections again, and
// returns the conclusions to be carried out by the caller.
func (t *Table) Connects(now time.Time, name string) (conclusions []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return nil
	}
	s := t.service(name)
	if s.lost && s.connectsAt.IsZero() {
		s.connectsAt = now
	}
	return s.takeConclusions()
}

// takeConclusions returns the conclusions that are kept.
func (s *service) takeConclusions() []func() {
	list := s.pending
	s.pending = nil
	return list
}

// NeedsProbe reports whether a service is lost and no endpoint is known to accept connections.
func (t *Table) NeedsProbe(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	return s.lost && s.connectsAt.IsZero()
}

// UseRelay reports whether a request goes through another router. Once the endpoints
// accept connections, requests that may be repeated are sent directly one at a time.
func (t *Table) UseRelay(now time.Time, name string, repeatable bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return false
	}
	s := t.service(name)
	switch {
	case !s.lost:
		return false
	case s.connectsAt.IsZero():
		return true
	case now.Sub(s.connectsAt) >= trialsEnd:
		return false
	case !repeatable || now.Sub(s.trialAt) < trialTime:
		return true
	}
	s.trialAt = now
	return false
}

// IsLost reports whether a service is lost.
func (t *Table) IsLost(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost > 0 && t.service(name).lost
}

// Lost returns the services that are lost.
func (t *Table) Lost() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return nil
	}
	var list []string
	for name, s := range t.services {
		if s.lost {
			list = append(list, name)
		}
	}
	return list
}

// Reached returns the times since the last response of services, in ms, for a router that
// has lost them.
func (t *Table) Reached(now time.Time, names []string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reached map[string]int64
	for _, name := range names {
		if s := t.services[name]; s != nil && !s.lost && !s.provedAt.IsZero() {
			if reached == nil {
				reached = make(map[string]int64)
			}
			reached[name] = now.Sub(s.provedAt).Milliseconds()
		}
	}
	return reached
}

// MergeReached records the responses that another router got.
func (t *Table) MergeReached(now time.Time, reached map[string]int64) {
	if len(reached) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, age := range reached {
		s := t.service(name)
		if at := now.Add(-time.Duration(age) * time.Millisecond); at.After(s.reachedAt) {
			s.reachedAt = at
		}
	}
}
