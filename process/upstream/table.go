package upstream

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/quota"
)

// Entry is the registry's record of an endpoint.
type Entry struct {
	ID       string
	Service  string
	Addr     string // host:port
	Zone     string
	Version  string // of its software; events of two versions do not fit into one stream
	Slots    int
	Draining bool          // takes no new requests
	ColdFor  time.Duration // remaining cold start when the entry was read
	Sequence int64         // rises with each write of the entry by its process
	Started  int64         // start time of its process, Unix ms; a new value means a new process
}

// Change is one record of the registry. A nil Entry removes the endpoint.
type Change struct {
	ID    string
	Entry *Entry
}

// Config holds the settings of a Table.
type Config struct {
	Zone string // of this router
	// RemovalGrace is how long an endpoint is kept whose entry was removed while the
	// registry was unreachable.
	RemovalGrace time.Duration
	Bound        balance.Bound // on the running requests of an endpoint chosen by prompt key
	// StaleBound replaces Bound, CapFactor and CapExtra if the counts of the other routers are
	// much older than requests last, and by degrees if they are younger.
	StaleBound balance.Bound
	CapFactor  float64 // an endpoint may run this multiple of the mean requests per endpoint; 0 is no bound
	CapExtra   float64 // requests added to that
	// ScarceCapacity means that endpoints are short of capacity for longer than an instant.
	ScarceCapacity bool
	ColdOver       float64 // multiple of its rate that a cold endpoint may get in one second
	ColdSlack      float64 // requests added to that
}

// SetCaps sets CapFactor, ColdOver and ColdSlack.
func (t *Table) SetCaps(capFactor, coldOver, coldSlack float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.CapFactor, t.cfg.ColdOver, t.cfg.ColdSlack = capFactor, coldOver, coldSlack
}

// removedServesFor is how long an endpoint still hands out cache entries after its
// entry was removed. Some stop without draining first and serve on meanwhile.
const removedServesFor = 2500 * time.Millisecond

// endpoint is an entry with the state observed by requests.
type endpoint struct {
	Entry
	readAt          time.Time // when the entry was read
	coldUntil       time.Time
	removeAt        time.Time // when sweep drops it; zero while its entry exists
	running         int       // own requests
	peerRunning     float64   // requests of the other routers, by their heartbeats
	smoothedRunning float64   // own requests, smoothed over a heartbeat interval
	smoothedAt      time.Time
	report          loadReport
	pace            pace
	reading         int         // prompt tokens of own requests that wait to be read
	smoothedReading float64     // the same, smoothed over a heartbeat interval
	peerReading     float64     // the same of the other routers, by their heartbeats
	respondedAt     time.Time   // last time that it reported its load to this router
	probedAt        time.Time   // last time that Probe allowed a probe
	sent            []time.Time // own requests, in order, while a quota binds
	restrictions    restrictions
	health          health
	returned        bool         // its entry was removed and came back
	supersession    supersession // zero if no newer process has registered at its address
}

// Table holds all endpoints. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu                sync.Mutex
	byID              map[string]*endpoint
	services          map[string][]*endpoint // byID by service, ordered by ID; dropped when byID changes
	ended             map[Incarnation]ended  // endpoints that drain or were removed
	removed           map[string]*endpoint   // entry removed; dropped at removeAt
	zonesOutOfService map[string]bool        // by zone
	self              string                 // name of this router
	others            []Peer                 // the other routers that may send requests
	toldDemand        map[string]int         // as Demand returned it last
	someBrittle       bool                   // some endpoint is or was brittle
	heartbeatInterval time.Duration          // between the heartbeats of a router
	coldRate          map[string]float64
	engines           map[string]Engine // by service
	// downSince is when a service was first found without endpoints.
	downSince    map[string]time.Time
	holders      holders
	loads        map[string]*serviceLoad
	leaving      map[Incarnation]leavingMark
	paused       map[Incarnation]time.Time // until when an endpoint wants no requests from this router
	readyRouters int                       // other routers that take requests
	draw         func() float64
	rollouts     Rollouts // nil if there are none

	// Buffers reused between calls to save allocations. Valid within a call.
	healthy, ejected []*endpoint
	eligible         []*endpoint
	list             []balance.Candidate
	members          []quota.Member
	// Requests a second that this router may send to limited and to brittle endpoints, set by usable.
	limitedRate, roomRate float64
	meanPace              float64 // set by setPaces
}

// New returns an empty table. draw returns random numbers in [0,1).
func New(cfg Config, draw func() float64) *Table {
	return &Table{cfg: cfg, byID: make(map[string]*endpoint), services: make(map[string][]*endpoint), removed: make(map[string]*endpoint), zonesOutOfService: make(map[string]bool),
		coldRate: make(map[string]float64), downSince: make(map[string]time.Time), holders: newHolders(),
		loads: make(map[string]*serviceLoad), leaving: make(map[Incarnation]leavingMark),
		ended: make(map[Incarnation]ended), paused: make(map[Incarnation]time.Time), draw: draw}
}

// Apply applies records of the registry in order. gap means that the registry was
// unreachable before: entries may have expired meanwhile, so removals wait for
// RemovalGrace.
func (t *Table) Apply(now time.Time, changes []Change, gap bool) []Event {
	return t.apply(now, changes, gap, true)
}

// apply is Apply. inOrder means that the changes are in the order in which they were made.
func (t *Table) apply(now time.Time, changes []Change, gap, inOrder bool) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for _, c := range changes {
		var event *Event
		if c.Entry != nil {
			event = t.put(now, *c.Entry)
		} else {
			event = t.remove(now, c.ID, gap)
		}
		if event == nil {
			continue
		}
		events = append(events, *event)
		if event.Action == added && inOrder {
			events = append(events, t.supersede(now, t.byID[event.ID])...)
		}
	}
	t.sweep(now)
	return events
}

// Event is a change of an endpoint in the table, for the log.
type Event struct {
	Action string // added, "leaving", "removed", "kept", "superseded"
	Entry
}

// added is the Action of an endpoint that is new in the table.
const added = "added"

func (t *Table) put(now time.Time, e Entry) *Event {
	var event *Event
	ep := t.byID[e.ID]
	if ep == nil || ep.Started != e.Started || ep.Addr != e.Addr || ep.Service != e.Service {
		fresh := &endpoint{}
		if ep != nil {
			fresh.reading = ep.reading
			fresh.running = ep.running // requests of the old process are released by ID
			t.holders.dropEndpoint(e.ID)
		}
		if ep != nil {
			delete(t.services, ep.Service)
		}
		fresh.restrictions.room.lastDownAt = now
		fresh.returned = t.ended[Incarnation{e.ID, e.Started}].removed
		ep = fresh
		t.byID[e.ID] = ep
		delete(t.services, e.Service)
		event = &Event{Action: added, Entry: e}
	} else if e.Draining && !ep.Draining {
		event = &Event{Action: "leaving", Entry: e}
	}
	if e.Draining {
		t.markEnded(now, &e, ended{})
	}
	ep.Entry, ep.readAt, ep.removeAt = e, now, time.Time{}
	ep.coldUntil = now.Add(e.ColdFor)
	return event
}

func (t *Table) remove(now time.Time, id string, gap bool) *Event {
	ep := t.byID[id]
	switch {
	case ep == nil:
		return nil
	case !gap || ep.Draining || t.wasRemoved(&ep.Entry):
		t.markEnded(now, &ep.Entry, ended{removed: true, certain: !gap})
		delete(t.byID, id)
		delete(t.services, ep.Service)
		ep.removeAt = now.Add(removedServesFor)
		t.removed[id] = ep
		return &Event{Action: "removed", Entry: ep.Entry}
	case ep.removeAt.IsZero():
		ep.removeAt = now.Add(t.cfg.RemovalGrace)
		return &Event{Action: "kept", Entry: ep.Entry}
	}
	return nil
}

// endpointsOf returns the endpoints of a service, ordered by ID.
func (t *Table) endpointsOf(service string) []*endpoint {
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

// Sweep removes the endpoints whose grace period has passed.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
}

func (t *Table) sweep(now time.Time) {
	for id, ep := range t.byID {
		if !ep.removeAt.IsZero() && !now.Before(ep.removeAt) {
			t.markEnded(now, &ep.Entry, ended{removed: true})
			delete(t.byID, id)
			delete(t.services, ep.Service)
		}
	}
	for id, ep := range t.removed {
		if !now.Before(ep.removeAt) {
			delete(t.removed, id)
		}
	}
}

// SetZonesOut sets the zones that are out of service.
func (t *Table) SetZonesOut(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zonesOutOfService = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.zonesOutOfService[z] = true
	}
}

// SetColdRates sets the requests per second that a cold endpoint of a service may
// get from all routers together.
func (t *Table) SetColdRates(rates map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldRate = rates
}

// SetPeers sets the other routers that may send requests, the number
// of ready ones, the requests that they run by endpoint, and the heartbeat interval.
// For half an interval, the load that an endpoint reports replaces theirs if it is higher.
func (t *Table) SetPeers(self string, others []Peer, readyRouters int, running map[string]float64, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.others, t.readyRouters, t.heartbeatInterval = self, others, readyRouters, interval
	for id, ep := range t.byID {
		ep.peerRunning = running[id]
	}
}

// Versions returns the software versions that each service has.
func (t *Table) Versions() []origins.Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []origins.Origin
	for _, ep := range t.byID {
		if o := (origins.Origin{Service: ep.Service, Version: ep.Version}); !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	return list
}

// Running returns this router's requests by endpoint, smoothed over a heartbeat
// interval: where that is longer than most requests, the number at one instant says
// little about the next.
func (t *Table) Running(now time.Time) map[string]float64 {
	const (
		least = 0.05 // below it an endpoint counts as idle
		step  = 0.1
	)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]float64)
	for id, ep := range t.byID {
		ep.updateSmoothed(now, t.heartbeatInterval)
		if ep.smoothedRunning > least {
			counts[id] = math.Round(ep.smoothedRunning/step) * step
		}
	}
	return counts
}

// updateSmoothed brings the smoothed count up to now. It must be called before the
// count changes.
func (e *endpoint) updateSmoothed(now time.Time, window time.Duration) {
	elapsed := now.Sub(e.smoothedAt)
	e.smoothedAt = now
	if window <= 0 || elapsed >= 8*window {
		e.smoothedRunning = float64(e.running)
		e.smoothReading(1)
		return
	}
	if elapsed > 0 {
		weight := -math.Expm1(-float64(elapsed) / float64(window))
		e.smoothedRunning += (float64(e.running) - e.smoothedRunning) * weight
		e.smoothReading(weight)
	}
}
