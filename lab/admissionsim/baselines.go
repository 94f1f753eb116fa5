package admissionsim

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/member"
)

// baseline is the common state of policies without exact owners: lagged load
// reports, and each router's own requests in progress.
type baseline struct {
	simulation      *Simulation
	inProgress      map[*sim.Router]map[*Endpoint]int
	totalInProgress map[*sim.Router]int // sum over the endpoints
	laggedLoad      map[*Endpoint]int
}

func newBaseline(simulation *Simulation) baseline {
	return baseline{
		simulation:      simulation,
		inProgress:      make(map[*sim.Router]map[*Endpoint]int),
		totalInProgress: make(map[*sim.Router]int),
		laggedLoad:      make(map[*Endpoint]int),
	}
}

// Start implements Policy.
func (b *baseline) Start(r *sim.Router) {
	b.inProgress[r] = make(map[*Endpoint]int)
	b.totalInProgress[r] = 0
	if len(b.laggedLoad) == 0 { // true for all routers that start before the first loads arrive
		b.publishLoads()
	}
}

// publishLoads refreshes the lagged loads periodically.
func (b *baseline) publishLoads() {
	reported := make([]int, len(b.simulation.Endpoints))
	for i, e := range b.simulation.Endpoints {
		reported[i] = e.Running
	}
	b.simulation.Fleet.After(b.simulation.Lag, func() {
		for i, e := range b.simulation.Endpoints {
			b.laggedLoad[e] = reported[i]
		}
	})
	b.simulation.Fleet.After(pollInterval, b.publishLoads)
}

// Usable implements Policy.
func (b *baseline) Usable(*Endpoint) bool {
	return true
}

// admit takes a slot at e for entry.
func (b *baseline) admit(entry *sim.Router, e *Endpoint, done func(*Slot)) {
	b.inProgress[entry][e]++
	b.totalInProgress[entry]++
	inProgress := b.inProgress[entry]
	done(&Slot{Entry: entry, Endpoint: e, Data: inProgress})
}

// Finished implements Policy.
func (b *baseline) Finished(slot *Slot, _ bool) {
	slot.Data.(map[*Endpoint]int)[slot.Endpoint]--
	b.totalInProgress[slot.Entry]--
}

// shares gives each router a fixed share of each endpoint's capacity.
type shares struct{ baseline }

// NewShares returns the policy in which each router has its own share of an endpoint's capacity,
// a whole number of requests; the endpoint's index decides which routers get one more.
func NewShares(simulation *Simulation) Policy {
	return &shares{newBaseline(simulation)}
}

// Acquire implements Policy.
func (s *shares) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	for _, e := range s.simulation.randomCandidates(group, maxCandidates) {
		if s.inProgress[entry][e] < s.share(entry, e) {
			s.admit(entry, e, done)
			return
		}
	}
	done(nil)
}

func (s *shares) share(entry *sim.Router, e *Endpoint) int {
	n := len(s.simulation.Fleet.Routers)
	capacity := e.Settings.Capacity
	share := capacity / n
	for i, r := range s.simulation.Fleet.Routers {
		if r == entry && (i+e.index)%n < capacity%n {
			share++
		}
	}
	return share
}

// leastLoaded sends to the endpoint with the lowest reported load of some or all.
type leastLoaded struct {
	baseline
	choices int
}

// NewLeastLoaded returns the policy that picks the least loaded endpoint by
// lagged reports.
func NewLeastLoaded(simulation *Simulation) Policy {
	return &leastLoaded{baseline: newBaseline(simulation), choices: math.MaxInt}
}

// NewTwoChoices returns the policy that picks the less loaded of two random
// endpoints by lagged reports.
func NewTwoChoices(simulation *Simulation) Policy {
	return &leastLoaded{baseline: newBaseline(simulation), choices: 2}
}

// Acquire implements Policy.
func (l *leastLoaded) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	var best *Endpoint
	for _, e := range l.simulation.randomCandidates(group, l.choices) {
		if best == nil || l.laggedLoad[e] < l.laggedLoad[best] {
			best = e
		}
	}
	if l.laggedLoad[best] >= best.Settings.Capacity {
		done(nil)
		return
	}
	l.admit(entry, best, done)
}

// bounded limits each router's requests at an endpoint to a multiple of that
// router's mean over all endpoints.
type bounded struct{ baseline }

// NewBounded returns the policy of bounded-load hashing per router.
func NewBounded(simulation *Simulation) Policy {
	return &bounded{newBaseline(simulation)}
}

// Acquire implements Policy.
func (b *bounded) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	mean := float64(b.totalInProgress[entry]+1) / float64(len(b.simulation.Endpoints))
	bound := int(math.Ceil(b.simulation.MeanMultiple * mean))
	order := b.simulation.randomCandidates(group, len(group))
	for _, e := range order {
		if b.inProgress[entry][e] < bound {
			b.admit(entry, e, done)
			return
		}
	}
	done(nil)
}

// leaseWait has one owner per endpoint by each router's own view. A new owner
// waits for one permit lease and then has the whole cap.
type leaseWait struct {
	baseline
	counts map[*sim.Router]map[*Endpoint]*permitCount
}

// permitCount is one owner's count of the permits of one endpoint.
type permitCount struct {
	since   time.Time
	permits int
}

// NewLeaseWait returns the policy in which a new owner waits until the permits
// of the previous owner have expired.
func NewLeaseWait(simulation *Simulation) Policy {
	return &leaseWait{baseline: newBaseline(simulation), counts: make(map[*sim.Router]map[*Endpoint]*permitCount)}
}

// Start implements Policy.
func (w *leaseWait) Start(r *sim.Router) {
	w.baseline.Start(r)
	w.counts[r] = make(map[*Endpoint]*permitCount)
}

// Acquire implements Policy.
func (w *leaseWait) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	w.tryNext(entry, w.simulation.randomCandidates(group, maxCandidates), done)
}

func (w *leaseWait) tryNext(entry *sim.Router, candidates []*Endpoint, done func(*Slot)) {
	if len(candidates) == 0 {
		done(nil)
		return
	}
	e := candidates[0]
	view := entry.Table.View()
	if view == nil {
		done(nil)
		return
	}
	owner, _ := view.Owner(member.DutyAdmission, e.Settings.Name)
	to := w.simulation.Fleet.Find(owner.Name)
	replied := false
	reply := func(count *permitCount) {
		if replied {
			return
		}
		replied = true
		if count == nil {
			w.tryNext(entry, candidates[1:], done)
			return
		}
		slot := &Slot{Entry: entry, Endpoint: e, Data: &leaseWaitPermit{owner: to, count: count}}
		w.expireWhenUnrenewed(slot, entry.Table)
		done(slot)
	}
	w.simulation.Fleet.Send(entry, to, func() {
		count := w.grant(to, e)
		w.simulation.Fleet.Send(to, entry, func() { reply(count) })
	})
	w.simulation.Fleet.Do(entry, permitTimeout, func() { reply(nil) })
}

type leaseWaitPermit struct {
	owner    *sim.Router
	count    *permitCount
	released bool
	ended    bool // the entry no longer renews the permit
}

func (p *leaseWaitPermit) release() {
	if !p.released {
		p.released = true
		p.count.permits--
	}
}

// grant counts a permit at the owner to; it returns nil if there is none.
func (w *leaseWait) grant(to *sim.Router, e *Endpoint) *permitCount {
	now := w.simulation.Fleet.Now
	view := to.Table.View()
	if view == nil {
		return nil
	}
	owner, _ := view.Owner(member.DutyAdmission, e.Settings.Name)
	count := w.counts[to][e]
	if owner.Incarnation != to.Member.Incarnation {
		delete(w.counts[to], e)
		return nil
	}
	if count == nil {
		count = &permitCount{since: now}
		w.counts[to][e] = count
	}
	if now.Sub(count.since) < admission.DefaultConfig().Lease || count.permits >= e.Settings.Capacity {
		return nil
	}
	count.permits++
	return count
}

// expireWhenUnrenewed releases a permit after a lease unless its entry still runs the request
// and so renews it; then it checks again after a lease. A restarted entry has another table.
func (w *leaseWait) expireWhenUnrenewed(slot *Slot, table *member.Table) {
	permit := slot.Data.(*leaseWaitPermit)
	w.simulation.Fleet.After(admission.DefaultConfig().Lease, func() {
		switch {
		case permit.released:
		case !permit.ended && slot.Entry.Up && slot.Entry.Table == table:
			w.expireWhenUnrenewed(slot, table)
		default:
			permit.release()
		}
	})
}

// Finished implements Policy.
func (w *leaseWait) Finished(slot *Slot, _ bool) {
	permit := slot.Data.(*leaseWaitPermit)
	permit.ended = true
	w.simulation.Fleet.Send(slot.Entry, permit.owner, permit.release)
}
