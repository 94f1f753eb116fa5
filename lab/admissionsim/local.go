package admissionsim

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/member"
)

// baseline holds what the policies without exact owners share: lagged reports
// of load, and each router's own requests in progress.
type baseline struct {
	site   *Simulation
	own    map[*sim.Router]map[*Endpoint]int
	total  map[*sim.Router]int // own requests in progress
	lagged map[*Endpoint]int
}

func newBaseline(site *Simulation) baseline {
	return baseline{
		site:   site,
		own:    make(map[*sim.Router]map[*Endpoint]int),
		total:  make(map[*sim.Router]int),
		lagged: make(map[*Endpoint]int),
	}
}

// Start implements Policy.
func (b *baseline) Start(r *sim.Router) {
	b.own[r] = make(map[*Endpoint]int)
	b.total[r] = 0
	if len(b.lagged) == 0 {
		b.report()
	}
}

// report refreshes the lagged loads again and again.
func (b *baseline) report() {
	shown := make([]int, len(b.site.Endpoints))
	for i, e := range b.site.Endpoints {
		shown[i] = e.Running
	}
	b.site.Fleet.After(b.site.Lag, func() {
		for i, e := range b.site.Endpoints {
			b.lagged[e] = shown[i]
		}
	})
	b.site.Fleet.After(pollEvery, b.report)
}

// Usable implements Policy.
func (b *baseline) Usable(*Endpoint) bool {
	return true
}

// admit takes a place at e for entry.
func (b *baseline) admit(entry *sim.Router, e *Endpoint, done func(*Slot)) {
	b.own[entry][e]++
	b.total[entry]++
	own := b.own[entry]
	done(&Slot{Entry: entry, Endpoint: e, Data: own})
}

// Finished implements Policy.
func (b *baseline) Finished(p *Slot, _ bool) {
	p.Data.(map[*Endpoint]int)[p.Endpoint]--
	b.total[p.Entry]--
}

// shares gives each router a fixed part of each endpoint's places.
type shares struct{ baseline }

// NewShares returns the policy in which each router has its own part of what an
// endpoint bears. Parts are whole; which routers get one more is hashed.
func NewShares(site *Simulation) Policy {
	return &shares{newBaseline(site)}
}

// Acquire implements Policy.
func (s *shares) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	for _, e := range s.site.try(group, tries) {
		if s.own[entry][e] < s.part(entry, e) {
			s.admit(entry, e, done)
			return
		}
	}
	done(nil)
}

func (s *shares) part(entry *sim.Router, e *Endpoint) int {
	n := len(s.site.Fleet.Routers)
	bears := e.Settings.Capacity
	part := bears / n
	for i, r := range s.site.Fleet.Routers {
		if r == entry && (i+e.index)%n < bears%n {
			part++
		}
	}
	return part
}

// lagged sends to the endpoint that reported the least load, among some or all.
type lagged struct {
	baseline
	choices int
}

// NewLeastLoaded returns the policy that picks the least loaded endpoint by
// lagged reports and own requests.
func NewLeastLoaded(site *Simulation) Policy {
	return &lagged{baseline: newBaseline(site), choices: math.MaxInt}
}

// NewTwoChoices returns the policy that picks the less loaded of two random
// endpoints by lagged reports.
func NewTwoChoices(site *Simulation) Policy {
	return &lagged{baseline: newBaseline(site), choices: 2}
}

// Acquire implements Policy.
func (l *lagged) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	var best *Endpoint
	for _, e := range l.site.try(group, l.choices) {
		if best == nil || l.lagged[e] < l.lagged[best] {
			best = e
		}
	}
	if l.lagged[best] >= best.Settings.Capacity {
		done(nil)
		return
	}
	l.admit(entry, best, done)
}

// bounded bounds each router's own load of an endpoint by its own mean.
type bounded struct{ baseline }

// NewBounded returns the policy of bounded-load hashing per router.
func NewBounded(site *Simulation) Policy {
	return &bounded{newBaseline(site)}
}

// Acquire implements Policy.
func (b *bounded) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	mean := float64(b.total[entry]+1) / float64(len(b.site.Endpoints))
	bound := int(math.Ceil(b.site.MeanMultiple * mean))
	order := b.site.try(group, len(group))
	for _, e := range order {
		if b.own[entry][e] < bound {
			b.admit(entry, e, done)
			return
		}
	}
	done(nil)
}

// waiting has one owner per endpoint by each router's own view. A new owner
// waits for one permit lifetime and then has the whole cap.
type waiting struct {
	baseline
	tables map[*sim.Router]map[*Endpoint]*waitingOwner
}

// waitingOwner is one owner's count of one endpoint.
type waitingOwner struct {
	since   time.Time
	permits int
}

// NewWaiting returns the policy in which a new owner waits out the lifetime of
// the earlier owner's permits.
func NewWaiting(site *Simulation) Policy {
	return &waiting{baseline: newBaseline(site), tables: make(map[*sim.Router]map[*Endpoint]*waitingOwner)}
}

// Start implements Policy.
func (w *waiting) Start(r *sim.Router) {
	w.baseline.Start(r)
	w.tables[r] = make(map[*Endpoint]*waitingOwner)
}

// Acquire implements Policy.
func (w *waiting) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	w.askNext(entry, w.site.try(group, tries), done)
}

func (w *waiting) askNext(entry *sim.Router, candidates []*Endpoint, done func(*Slot)) {
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
	to := w.site.Fleet.Find(owner.Name)
	answered := false
	answer := func(table *waitingOwner) {
		if answered {
			return
		}
		answered = true
		if table == nil {
			w.askNext(entry, candidates[1:], done)
			return
		}
		p := &Slot{Entry: entry, Endpoint: e, Data: &waitingPlace{owner: to, table: table}}
		w.lapse(p, entry.Table)
		done(p)
	}
	w.site.Fleet.Send(entry, to, func() {
		table := w.grant(to, e)
		w.site.Fleet.Send(to, entry, func() { answer(table) })
	})
	w.site.Fleet.Do(entry, askTimeout, func() { answer(nil) })
}

type waitingPlace struct {
	owner    *sim.Router
	table    *waitingOwner
	released bool
	ended    bool // the entry no longer renews it
}

func (p *waitingPlace) release() {
	if !p.released {
		p.released = true
		p.table.permits--
	}
}

// grant counts a permit at the owner to; it returns nil if there is none.
func (w *waiting) grant(to *sim.Router, e *Endpoint) *waitingOwner {
	now := w.site.Fleet.Now
	view := to.Table.View()
	if view == nil {
		return nil
	}
	owner, _ := view.Owner(member.DutyAdmission, e.Settings.Name)
	table := w.tables[to][e]
	if owner.Incarnation != to.Member.Incarnation {
		delete(w.tables[to], e)
		return nil
	}
	if table == nil {
		table = &waitingOwner{since: now}
		w.tables[to][e] = table
	}
	if now.Sub(table.since) < admission.DefaultConfig().Lease || table.permits >= e.Settings.Capacity {
		return nil
	}
	table.permits++
	return table
}

// lapse takes a permit back if its entry's process is gone, and else looks
// again after another lease.
func (w *waiting) lapse(p *Slot, process *member.Table) {
	place := p.Data.(*waitingPlace)
	w.site.Fleet.After(admission.DefaultConfig().Lease, func() {
		switch {
		case place.released:
		case !place.ended && p.Entry.Up && p.Entry.Table == process:
			w.lapse(p, process)
		default:
			place.release()
		}
	})
}

// Finished implements Policy.
func (w *waiting) Finished(p *Slot, _ bool) {
	place := p.Data.(*waitingPlace)
	place.ended = true
	w.site.Fleet.Send(p.Entry, place.owner, place.release)
}
