package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// defaultTimeLimit replaces a time limit that is missing or negative.
	defaultTimeLimit = 15 * time.Second
	// orderHold is how long an order that the store lost is kept, because operators
	// rewrite what was lost.
	orderHold = 5 * time.Second
	// startPeriod is the time after its start in which a router may know orders only from
	// their newest record, so that its numbers of orders give way to those of others.
	startPeriod = 10 * time.Second
	// statusAhead is how much earlier than an order its status record may be read.
	statusAhead = 3 * time.Second
	// unconfirmedHold is how long a different order from the store waits while the current
	// one was learned from a router that is further in the store.
	unconfirmedHold = 3 * time.Second
)

// Table holds the rollouts of all services. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	self     string
	limits   Limits
	started  time.Time // of the first call with a time
	services map[string]*rollout
	numbers  map[string]int      // the highest number of an order, also of one that is gone
	restored map[string]restored // status records read before their order
	heard    time.Time           // last heartbeat of any router; zero: none
	// outOfTouch is set while heartbeats of other routers no longer arrive.
	outOfTouch bool
}

// restored is a status record and when it was read.
type restored struct {
	Status
	at time.Time
}

// rollout is the state of a service's current order.
type rollout struct {
	order    Order
	number   int
	seed     uint64
	known    time.Time // since when this router knows the order
	starting bool      // number is a guess
	peerOnly bool      // learned from another router, not yet read from the store
	missing  time.Time // since when the store lacks the order; zero: it has it
	deleted  bool
	next     *Order // a different order or deletion from the store, held for a while
	nextAt   time.Time

	began      time.Time
	stage      Stage
	stageBegan time.Time
	reason     string
	stored     bool // the final state stands in the store
	storedAt   time.Time
	share      float64
	loadTest   bool             // see Gate.LoadTest
	settled    bool             // nothing runs on old endpoints after a success
	noOthersAt time.Time        // since when there are only endpoints of the ordered version
	past       map[string]Stage // never changed, only replaced

	own        Counts
	oldRunning int
	// completeSeen is set if the last Step found the complete stage. Before that, old
	// endpoints count as in use.
	completeSeen bool
	peers        map[string]*peer
	tally        *tally
	found        finding
	slow         map[string]limits // by cell key, of the last Step

	transitions []Transition
}

// peer is what another router told about an order.
type peer struct {
	incarnation int64
	ageMS       int64
	stage       Stage
	deleted     bool // it saw the order deleted
	oldRunning  int
	counts      Counts
}

// New returns an empty table of the router named self.
func New(self string, limits Limits) *Table {
	return &Table{
		self: self, limits: limits.withDefaults(),
		services: map[string]*rollout{}, numbers: map[string]int{}, restored: map[string]restored{},
	}
}

// SetLimits replaces the limits.
func (t *Table) SetLimits(limits Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits.withDefaults()
}

// touch notes the first time that the table sees.
func (t *Table) touch(now time.Time) {
	if t.started.IsZero() {
		t.started = now
	}
}

// SetOrder takes the newest order of a service from the store; nil means that it was
// deleted. It returns whether this changed anything: an order equal to the current one
// does not.
func (t *Table) SetOrder(now time.Time, service string, o *Order) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touch(now)
	if o != nil {
		c := *o
		c.Service = service
		if c.TimeLimit <= 0 {
			c.TimeLimit = defaultTimeLimit
		}
		o = &c
	}
	r := t.services[service]
	if r == nil {
		if o != nil {
			t.beginFromStore(now, *o)
		}
		delete(t.restored, service)
		return o != nil
	}
	r.missing = time.Time{}
	if o != nil && !r.deleted && *o == r.order {
		r.peerOnly, r.next, r.nextAt = false, nil, time.Time{}
		return false
	}
	if o == nil && r.deleted {
		return false
	}
	if r.peerOnly && now.Before(r.known.Add(unconfirmedHold)) {
		r.next, r.nextAt = o, r.known.Add(unconfirmedHold)
		return false
	}
	t.replace(now, r, o, r.number+1)
	return true
}

// MissOrder says that the store no longer holds the order although no deletion was seen.
// The order is deleted after orderHold, unless SetOrder repeats it before.
func (t *Table) MissOrder(now time.Time, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touch(now)
	if r := t.services[service]; r != nil && !r.deleted && r.missing.IsZero() {
		r.missing = now
	}
}

// beginFromStore starts an order that this router knows nothing about. A status record
// that was read just before, or at the router's start, belongs to the order; an earlier
// one is that of an order before it.
func (t *Table) beginFromStore(now time.Time, o Order) {
	starting := now.Before(t.started.Add(startPeriod))
	s, ok := t.restored[o.Service]
	same := ok && (starting || now.Before(s.at.Add(statusAhead)))
	if ok && !same {
		t.numbers[o.Service] = max(t.numbers[o.Service], s.Number)
	}
	r := t.begin(now, o, t.numbers[o.Service]+1)
	if r.starting = starting || same; same {
		t.restore(now, s.Status)
	}
	r.starting = starting
}

// begin starts an order of a service.
func (t *Table) begin(now time.Time, o Order, number int) *rollout {
	r := &rollout{
		order: o, number: number, seed: o.seed(number), known: now, began: now, stageBegan: now,
		own:  Counts{Cells: map[string]*Cell{}, Endpoints: map[string]EndpointCounts{}},
		past: map[string]Stage{}, peers: map[string]*peer{}, tally: newTally(o.TimeLimit),
	}
	t.services[o.Service] = r
	t.numbers[o.Service] = max(t.numbers[o.Service], number)
	return r
}

// replace ends the order of r with a deletion (nil) or a different order.
func (t *Table) replace(now time.Time, r *rollout, o *Order, number int) {
	service := r.order.Service
	if o == nil {
		r.deleted, r.number, r.next, r.nextAt = true, number, nil, time.Time{}
		t.numbers[service] = max(t.numbers[service], number)
		return
	}
	n := t.begin(now, *o, number)
	n.transitions, n.oldRunning = r.transitions, r.oldRunning
	n.past = copyOf(r.past)
	if r.stage != StageSucceeded {
		n.past[r.order.To] = r.stage
	}
	delete(n.past, o.To)
}

// copyOf returns a copy of m that is not nil.
func copyOf[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	maps.Copy(c, m)
	return c
}

// Restore takes a status record read from the store. It is ignored unless it is for the
// current order; a later SetOrder of its order finds it.
func (t *Table) Restore(now time.Time, service string, s Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touch(now)
	s.Service = service
	if t.services[service] != nil {
		t.restore(now, s)
		return
	}
	t.restored[service] = restored{Status: s, at: now}
}

// Adopt takes a final state that stands in the store. It overrides any state that this
// router or another decided for the same order.
func (t *Table) Adopt(now time.Time, service string, s Status) {
	if s.Stage.Final() {
		t.Restore(now, service, s)
	}
}

// restore applies a status record to the current order if it is for that.
func (t *Table) restore(now time.Time, s Status) {
	r := t.services[s.Service]
	if r.deleted || s.To != r.order.To || s.TimeLimit > 0 && s.TimeLimit != r.order.TimeLimit {
		return
	}
	switch {
	case s.Number == 0 || s.Number == r.number:
	case r.starting:
		t.renumber(r, s.Number)
	default:
		return
	}
	if !s.Began.IsZero() && s.Began.Before(r.began) {
		r.began = s.Began
	}
	if now.Before(r.known.Add(startPeriod)) && len(r.past) == 0 {
		r.past = copyOf(s.Past)
	}
	switch {
	case s.Stage.Final():
		if r.stage != s.Stage {
			r.advance(now, s.Stage, s.Reason, s.Stage == StageRolledBack, false)
		}
		r.markStored(now)
	case s.Stage > r.stage:
		r.advance(now, s.Stage, s.Reason, false, false)
	}
}

// renumber corrects the guessed number of an order.
func (t *Table) renumber(r *rollout, number int) {
	r.number, r.seed = number, r.order.seed(number)
	t.numbers[r.order.Service] = number
}

// advance enters a stage and notes the transition.
func (r *rollout) advance(now time.Time, to Stage, reason string, verdict, urgent bool) {
	r.transitions = append(r.transitions, Transition{
		Order: r.order, Number: r.number, From: r.stage, To: to, Reason: reason, Verdict: verdict, Urgent: urgent,
	})
	r.stage, r.stageBegan, r.reason = to, now, reason
}

// StatusOf returns the state of the service's order with reason and evidence. Its Order
// is zero if the service has none, or if the order was deleted.
func (t *Table) StatusOf(now time.Time, service string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil || r.deleted {
		return Status{}
	}
	s := Status{
		Order: r.order, Stage: r.stage, Number: r.number, Began: r.began, Reason: r.reason,
		Share: t.shareAt(now, r), Past: copyOf(r.past), Evidence: r.tally.evidence(),
	}
	s.Evidence.Routers = 1 + len(r.peers)
	return s
}

// Services returns the services that have a rollout, sorted.
func (t *Table) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted()
}

// sorted returns the services that have a rollout.
func (t *Table) sorted() []string {
	list := make([]string, 0, len(t.services))
	for service := range t.services {
		list = append(list, service)
	}
	slices.Sort(list)
	return list
}
