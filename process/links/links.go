package links

import (
	"sync"
	"time"
)

const (
	// failedEndpoints is the number of endpoints without a response, and no response of the
	// service between, that puts the links to it in doubt.
	failedEndpoints = 2
	// restartTime is shorter than an endpoint needs to restart after a crash.
	restartTime = 700 * time.Millisecond
	// tellTime is how long the other routers need to tell of the responses that they got.
	tellTime = 500 * time.Millisecond
	// clearedTime is how long late responses cause no doubt after endpoints showed that they are
	// slow, and the links sound.
	clearedTime = time.Second
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
	failed    map[string]bool // endpoints that failed since the last response
	provedAt  time.Time       // last response
	clearedAt time.Time       // when late endpoints last responded to status checks

	doubt    chan struct{} // closed once a probe has found out whether the service is lost; nil without doubt
	lost     bool
	since    time.Time // when it was doubted or lost
	ownFault bool
	// connectsAt is when most endpoints accepted connections again; zero before.
	connectsAt time.Time
	trialAt    time.Time
	reachedAt  time.Time // newest response that another router told of
	// missedAt is when the last probe began that found no endpoint, and reachedBefore the
	// newest response that was known to be older.
	missedAt, reachedBefore time.Time
	pending                 []func()
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

// Late records that the response of an endpoint is late, which may be slow or out of reach. It is
// otherwise like Failed.
func (t *Table) Late(now time.Time, name, endpoint string, endpoints int) (doubted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if now.Sub(s.clearedAt) < clearedTime && !s.lost {
		s.failed[endpoint] = true
		return false
	}
	return t.recordFailure(now, s, endpoint, endpoints)
}

// Failed records that an endpoint accepted no connection or ended one without a response. endpoints is
// the number that the service has. It reports whether the links are in doubt from now on; the
// caller then tries to open connections to the endpoints and calls EndDoubt.
func (t *Table) Failed(now time.Time, name, endpoint string, endpoints int) (doubted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordFailure(now, t.service(name), endpoint, endpoints)
}

// recordFailure implements Failed. The caller holds t.mu.
func (t *Table) recordFailure(now time.Time, s *service, endpoint string, endpoints int) (doubted bool) {
	s.failed[endpoint] = true
	if s.lost {
		s.connectsAt = time.Time{}
	}
	if s.lost || s.doubt != nil || len(s.failed) < min(t.failedEndpoints(), endpoints) {
		return false
	}
	s.doubt, s.since = make(chan struct{}), now
	return true
}

// failedEndpoints returns the number of endpoints without a response that puts the links to
// a service in doubt: one while another service is lost.
func (t *Table) failedEndpoints() int {
	if t.lost > 0 {
		return 1
	}
	return failedEndpoints
}

// Settled returns a channel that is closed once the links to a service are not in doubt.
func (t *Table) Settled(name string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service(name); s.doubt != nil {
		return s.doubt
	}
	return settled
}

var settled = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// HasFailed reports whether an endpoint failed since the last response of its service.
func (t *Table) HasFailed(name, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(name).failed[endpoint]
}

// Probe is the result of opening a connection to each of some endpoints of a service.
type Probe struct {
	Began     time.Time
	Accepting []string // endpoints that accepted one
	Failing   []string // the others
	// Responding lists those of Accepting that had failed and that responded to a status check.
	Responding []string
}

// Reached reports whether enough endpoints accepted a connection to serve requests.
func (p *Probe) Reached() bool {
	return len(p.Accepting) > 0 && len(p.Accepting) >= len(p.Failing)
}

// EndDoubt records the probe of a service whose links are in doubt. It is lost if few endpoints
// accept connections, or if enough of these failed all the same and do not respond. The caller
// carries out the conclusions.
func (t *Table) EndDoubt(name string, p Probe) (conclusions []func(), c Change, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	close(s.doubt)
	s.doubt = nil
	for _, endpoint := range p.Responding {
		delete(s.failed, endpoint)
		s.clearedAt = p.Began
	}
	silent := 0
	for _, endpoint := range p.Accepting {
		if s.failed[endpoint] {
			silent++
		}
	}
	if p.Reached() && silent < len(p.Accepting) && silent < t.failedEndpoints() {
		return s.takeConclusions(), Change{}, false
	}
	s.lost, s.ownFault = true, false
	s.connectsAt, s.trialAt, s.missedAt = time.Time{}, time.Time{}, time.Time{}
	t.lost++
	if p.Reached() {
		s.connectsAt = p.Began
		conclusions = s.takeConclusions()
	}
	return conclusions, Change{Service: name, Lost: true}, true
}

// Proved records a response of the service, which ends its loss if most endpoints accept
// connections. It returns the conclusions that the endpoints and not the links failed, to be
// carried out by the caller, and reports a change.
func (t *Table) Proved(now time.Time, name string) (conclusions []func(), c Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.provedAt = now
	if len(s.failed) > 0 {
		clear(s.failed)
	}
	if !s.lost || s.connectsAt.IsZero() {
		return nil, Change{}, false
	}
	s.lost = false
	t.lost--
	return s.takeConclusions(), Change{Service: name, OwnFault: s.ownFault, After: now.Sub(s.since)}, true
}

// Conclude keeps a conclusion until it is clear whether the links are at fault, or returns
// false if they are not in doubt. If they are at fault, it is dropped.
func (t *Table) Conclude(name string, conclusion func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	accepted := s.lost && !s.ownFault && !s.connectsAt.IsZero()
	if s.doubt == nil && !s.lost || accepted {
		return false
	}
	if !s.ownFault && len(s.pending) < maxPending {
		s.pending = append(s.pending, conclusion)
	}
	return true
}

// Probed records a probe of a lost service and reports whether it shows that the links are
// at fault. The caller carries out the conclusions.
func (t *Table) Probed(name string, p Probe) (conclusions []func(), c Change, ownFault bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if !s.lost {
		return nil, Change{}, false
	}
	if p.Reached() {
		if s.connectsAt.IsZero() {
			s.connectsAt = p.Began
		}
		return s.takeConclusions(), Change{}, false
	}
	s.connectsAt = time.Time{}
	if len(p.Accepting) > 0 {
		return s.takeOldConclusions(p.Began), Change{}, false
	}
	if !s.linksAtFault(p.Began) || s.ownFault {
		return nil, Change{}, false
	}
	s.ownFault, s.pending = true, nil
	return nil, Change{Service: name, Lost: true, OwnFault: true, After: p.Began.Sub(s.since)}, true
}

// linksAtFault reports whether responses to other routers show that endpoints ran while a probe
// of all of them failed: one before it and one after it with no time for a restart between, or
// one long after the loss. It records the probe.
func (s *service) linksAtFault(began time.Time) bool {
	between := !s.missedAt.IsZero() && s.reachedAt.After(s.missedAt) && s.reachedAt.Sub(s.reachedBefore) < restartTime
	if !s.reachedAt.Before(began) {
		return between
	}
	s.missedAt, s.reachedBefore = began, s.reachedAt
	return between || s.reachedAt.Sub(s.since) > restartTime
}

// Connects records that an endpoint of a service accepted the connection of a request, and
// returns the conclusions to be carried out by the caller.
func (t *Table) Connects(now time.Time, name string) (conclusions []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return nil
	}
	return t.service(name).takeOldConclusions(now)
}

// takeOldConclusions returns the conclusions that are kept, once other routers have had the
// time to tell that they reach a lost service.
func (s *service) takeOldConclusions(now time.Time) []func() {
	if !s.lost || now.Sub(s.since) < tellTime {
		return nil
	}
	return s.takeConclusions()
}

// takeConclusions returns the conclusions that are kept.
func (s *service) takeConclusions() []func() {
	list := s.pending
	s.pending = nil
	return list
}

// NeedsProbe reports whether a service is lost and its endpoints are not known to accept
// connections.
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
