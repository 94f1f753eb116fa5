package upstream

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

// Entry is what the registry says of an endpoint.
type Entry struct {
	ID       string
	Service  string
	Addr     string // host:port
	Zone     string
	Slots    int
	Draining bool          // takes no new requests
	ColdFor  time.Duration // how much longer it is cold, when the entry was read
	Started  int64         // Unix time of its start, in ms; a new value is a new process
}

// Change is one record of the registry. A nil Entry removes the endpoint.
type Change struct {
	ID    string
	Entry *Entry
}

// Config holds what the table does not learn from the registry.
type Config struct {
	Zone string // of this router
	// RemovalGrace is how long an endpoint stays whose entry went missing while
	// the registry was away.
	RemovalGrace time.Duration
	Bound        balance.Bound // of the running requests of an engine
	// StaleBound replaces Bound and CapFactor and CapExtra where beats come less
	// often than StaleBeats: routers then choose by old counts and overshoot.
	StaleBound    balance.Bound
	StaleInterval time.Duration
	CapFactor     float64 // times the mean of all endpoints that one may run; 0 does not bound
	CapExtra      float64 // requests on top
	ColdOver      float64 // times its rate that a cold endpoint bears in one second
	ColdSlack     float64 // requests on top of that
}

// SetBounds replaces CapFactor, ColdOver and ColdSlack.
func (t *Table) SetBounds(capFactor, coldOver, coldSlack float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.CapFactor, t.cfg.ColdOver, t.cfg.ColdSlack = capFactor, coldOver, coldSlack
}

// leftServes is how long an endpoint still hands out cache entries after its
// entry was removed. Some leave without announcing it and serve on meanwhile.
const leftServes = 2500 * time.Millisecond

// endpoint is an entry with what requests showed of it.
type endpoint struct {
	Entry
	readAt    time.Time // when the entry was read
	coldUntil time.Time
	removeAt  time.Time // zero: in the registry
	running   int       // own requests
	peers     float64   // requests of the other routers, by their beats
	smooth    float64   // own requests, smoothed over a beat
	smoothAt  time.Time
	told      int // requests of the other routers, by the endpoint's last answer
	toldAt    time.Time
	toldFor   time.Duration // how long that counts beside the beats
	coldSends []time.Time
	health    health
}

// Table holds all endpoints. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu       sync.Mutex
	byID     map[string]*endpoint
	services map[string][]*endpoint // byID by service, in the order of ids; dropped when byID changes
	gone     map[string]*endpoint   // entry removed; removeAt is when they are forgotten
	out      map[string]bool        // zones out of service
	self     string                 // name of this router
	others   []string               // names of the other routers that may send
	beats    time.Duration          // between the beats of a router
	coldRate map[string]float64
	// darkSince is when a service was first found without endpoints.
	darkSince map[string]time.Time
	holders   holders
	loads     map[string]*serviceLoad
	live      int // other routers that take requests
	draw      func() float64

	// Kept between decisions, so that one allocates little. Valid within a call.
	sound, ailing []*endpoint
	list          []balance.Candidate
}

// New returns an empty table. draw returns random numbers in [0,1).
func New(cfg Config, draw func() float64) *Table {
	return &Table{cfg: cfg, byID: make(map[string]*endpoint), services: make(map[string][]*endpoint), gone: make(map[string]*endpoint), out: make(map[string]bool),
		coldRate: make(map[string]float64), darkSince: make(map[string]time.Time), holders: newHolders(),
		loads: make(map[string]*serviceLoad), draw: draw}
}

// Apply folds records of the registry in their order. gap says that the
// registry was out of reach before: entries may have lapsed meanwhile, so a
// removal waits for RemovalGrace.
func (t *Table) Apply(now time.Time, changes []Change, gap bool) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var notes []Event
	for _, c := range changes {
		var note *Event
		if c.Entry != nil {
			note = t.put(now, *c.Entry)
		} else {
			note = t.remove(now, c.ID, gap)
		}
		if note != nil {
			notes = append(notes, *note)
		}
	}
	t.sweep(now)
	return notes
}

// Event is a change of what the table holds of an endpoint, for the log.
type Event struct {
	Action string // "added", "leaving", "removed", "kept"
	Entry
}

func (t *Table) put(now time.Time, e Entry) *Event {
	var note *Event
	ep := t.byID[e.ID]
	if ep == nil || ep.Started != e.Started || ep.Addr != e.Addr || ep.Service != e.Service {
		fresh := &endpoint{}
		if ep != nil {
			fresh.running = ep.running // requests of the old process are released by id
			t.holders.forgetEndpoint(e.ID)
		}
		if ep != nil {
			delete(t.services, ep.Service)
		}
		ep = fresh
		t.byID[e.ID] = ep
		delete(t.services, e.Service)
		note = &Event{Action: "added", Entry: e}
	} else if e.Draining && !ep.Draining {
		note = &Event{Action: "leaving", Entry: e}
	}
	ep.Entry, ep.readAt, ep.removeAt = e, now, time.Time{}
	ep.coldUntil = now.Add(e.ColdFor)
	return note
}

func (t *Table) remove(now time.Time, id string, gap bool) *Event {
	ep := t.byID[id]
	switch {
	case ep == nil:
		return nil
	case !gap || ep.Draining:
		delete(t.byID, id)
		delete(t.services, ep.Service)
		ep.removeAt = now.Add(leftServes)
		t.gone[id] = ep
		return &Event{Action: "removed", Entry: ep.Entry}
	case ep.removeAt.IsZero():
		ep.removeAt = now.Add(t.cfg.RemovalGrace)
		return &Event{Action: "kept", Entry: ep.Entry}
	}
	return nil
}

// of returns the endpoints of a service in the order of their ids.
func (t *Table) of(service string) []*endpoint {
	list, known := t.services[service]
	if known {
		return list
	}
	for _, ep := range t.byID {
		if ep.Service == service {
			list = append(list, ep)
		}
	}
	slices.SortFunc(list, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	t.services[service] = list
	return list
}

// Sweep removes the endpoints whose grace has passed.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
}

func (t *Table) sweep(now time.Time) {
	for id, ep := range t.byID {
		if !ep.removeAt.IsZero() && !now.Before(ep.removeAt) {
			delete(t.byID, id)
			delete(t.services, ep.Service)
		}
	}
	for id, ep := range t.gone {
		if !now.Before(ep.removeAt) {
			delete(t.gone, id)
		}
	}
}

// SetZonesOut sets the zones whose endpoints get no new requests.
func (t *Table) SetZonesOut(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.out[z] = true
	}
}

// SetColdRates sets the requests a second that a cold endpoint of a service
// bears from all routers together.
func (t *Table) SetColdRates(rates map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldRate = rates
}

// SetPeers sets the other routers that may send, by name, how many of them take
// requests, and the requests that
// they run, by endpoint. beats is the pause between the beats of a router: the
// load that an endpoint tells counts beside theirs for half of that.
func (t *Table) SetPeers(self string, others []string, live int, running map[string]float64, beats time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.others, t.live, t.beats = self, others, live, beats
	for id, ep := range t.byID {
		ep.peers = running[id]
	}
}

// Running returns this router's requests by endpoint, smoothed over the pause
// between beats: where that is longer than most requests, the number at one
// moment says little of the next.
func (t *Table) Running(now time.Time) map[string]float64 {
	const (
		least = 0.05 // below it an endpoint counts as idle
		step  = 0.1
	)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]float64)
	for id, ep := range t.byID {
		ep.settle(now, t.beats)
		if ep.smooth > least {
			counts[id] = math.Round(ep.smooth/step) * step
		}
	}
	return counts
}

// settle brings the smoothed count up to now. It is called before the count
// changes.
func (e *endpoint) settle(now time.Time, over time.Duration) {
	passed := now.Sub(e.smoothAt)
	e.smoothAt = now
	if over <= 0 || passed >= 8*over {
		e.smooth = float64(e.running)
		return
	}
	if passed > 0 {
		e.smooth += (float64(e.running) - e.smooth) * -math.Expm1(-float64(passed)/float64(over))
	}
}
