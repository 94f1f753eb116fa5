package member

import (
	"math"
	"slices"
	"strings"
	"time"
)

// InfiniteAge is the age of an event that never happened.
const InfiniteAge = time.Duration(math.MaxInt64)

// BindingCount is the number of routers with a valid lease for one binding.
type BindingCount struct {
	View  *View
	Prev  *View // nil: bound to View alone
	Count int
}

// Bindings counts the known routers by the views that they are bound to. It is
// immutable.
type Bindings struct {
	Self   Member
	Known  int
	Counts []BindingCount
}

// CountFor returns the number of routers that are bound to Self as the owner of
// key. A router that is still bound to an earlier view counts only if Self owns
// key under both views. Competing owners never count the same router.
func (b *Bindings) CountFor(duty Duty, key string) int {
	counted := 0
	for i := range b.Counts {
		if b.Counts[i].owned(b.Self, duty, key) {
			counted += b.Counts[i].Count
		}
	}
	return counted
}

// owned reports whether self is the owner of key for the routers counted in c.
func (c *BindingCount) owned(self Member, duty Duty, key string) bool {
	return owns(c.View, self, duty, key) && (c.Prev == nil || owns(c.Prev, self, duty, key))
}

// owns reports whether self is the owner in v. It also owns what an earlier process
// at the same address owned, which no longer runs.
func owns(v *View, self Member, duty Duty, key string) bool {
	owner, ok := v.Owner(duty, key)
	return ok && owner.Name == self.Name && (owner.Incarnation == self.Incarnation || owner.Peer == self.Peer)
}

// Bindings returns the bindings at now. They are cached for at most an ageUnit, and
// only until the next tick, gossip message or host list.
func (t *Table) Bindings(now time.Time) *Bindings {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initTimes(now)
	if t.bindings == nil || now.Sub(t.bindingsAt) > t.cfg.ageUnit() {
		t.bindings = t.countBindings(now)
		t.bindingsAt = now
	}
	return t.bindings
}

func (t *Table) countBindings(now time.Time) *Bindings {
	b := &Bindings{Self: t.self, Known: t.knownCount(now)}
	if t.mustNotOwn(now) {
		return b
	}
	if !t.selfListedSince.IsZero() && now.Sub(t.selfListedSince) >= t.cfg.JoinGrace {
		b.add(t, t.selfBinding(now))
	}
	for _, name := range t.names {
		p := t.peers[name]
		if t.isCounted(p, now) {
			b.add(t, p.binding)
		}
	}
	if b.minority() && !t.inAllViews(now) {
		b.Counts = nil
	}
	return b
}

// minority reports whether at most half of the known routers are counted.
func (b *Bindings) minority() bool {
	counted := 0
	for i := range b.Counts {
		counted += b.Counts[i].Count
	}
	return 2*counted <= b.Known
}

// inAllViews reports whether all known routers were last seen on a view with this
// process. A router that does not yet count this one as known could grant the
// whole cap, and the share of this minority would come on top.
func (t *Table) inAllViews(now time.Time) bool {
	for _, name := range t.names {
		p := t.peers[name]
		if !t.isKnown(p, now) {
			continue
		}
		view := t.viewStore.get(p.binding.View)
		if view == nil || !view.Has(t.self.Name, t.self.Incarnation) {
			return false
		}
	}
	return true
}

// mustNotOwn reports whether this router must not act as an owner: it is paused or
// has reached no majority since a pause, or it reaches no majority and its list is
// too old to tell whether others still count it as known.
func (t *Table) mustNotOwn(now time.Time) bool {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseTicks*t.cfg.Tick
	if t.awaitMajority || paused {
		return true
	}
	return now.Sub(t.listedAt) > t.cfg.ForgetAfter/2 && t.countedMajorityAge(now) > t.deadAfter()
}

// isCounted reports whether p has a valid lease and is known to all routers.
func (t *Table) isCounted(p *peer, now time.Time) bool {
	view := t.viewStore.get(p.binding.View)
	if p.lastSeen.IsZero() || view == nil || now.Sub(p.lastSeen) >= t.cfg.bindingLease(view) {
		return false
	}
	return p.listed && now.Sub(p.listedSince) >= t.cfg.JoinGrace // then known to all routers
}

func (b *Bindings) add(t *Table, binding Binding) {
	view := t.viewStore.get(binding.View)
	if view == nil {
		return
	}
	var prev *View
	if binding.Prev != 0 {
		prev = t.viewStore.get(binding.Prev)
		if prev == nil {
			return
		}
	}
	i := slices.IndexFunc(b.Counts, func(c BindingCount) bool { return c.View == view && c.Prev == prev })
	if i < 0 {
		i = len(b.Counts)
		b.Counts = append(b.Counts, BindingCount{View: view, Prev: prev})
	}
	b.Counts[i].Count++
}

// isKnown reports whether p is one of the routers over which bindings are counted.
// A new host is known after half of JoinGrace, before any router counts it.
func (t *Table) isKnown(p *peer, now time.Time) bool {
	if p.listed && now.Sub(p.listedSince) >= t.cfg.JoinGrace/2 {
		return true
	}
	if p.everListed && !p.listed && !p.dropped {
		return true
	}
	if !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= t.deadAfter() {
		return true // even if the list read last did not contain it
	}
	return t.view != nil && t.view.Index(p.Name) >= 0
}

func (t *Table) knownCount(now time.Time) int {
	known := 1
	for _, name := range t.names {
		if t.isKnown(t.peers[name], now) {
			known++
		}
	}
	return known
}

// Known returns the number of known routers of the region, including this one.
func (t *Table) Known(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knownCount(now)
}

// View returns the current view, or nil before the first.
func (t *Table) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// ViewSince returns when this router switched to its view.
func (t *Table) ViewSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewSince
}

// countedMajorityAge returns the smallest age within which this router has seen,
// directly or relayed, more than half of the routers over which bindings are counted,
// including itself; InfiniteAge if it never had.
func (t *Table) countedMajorityAge(now time.Time) time.Duration {
	ages := make([]time.Duration, 1, len(t.names)+1) // itself at age 0
	known := 1
	for _, name := range t.names {
		p := t.peers[name]
		if !t.isKnown(p, now) {
			continue
		}
		known++
		if !p.lastSeen.IsZero() {
			ages = append(ages, now.Sub(p.lastSeen))
		}
	}
	need := known/2 + 1
	if len(ages) < need {
		return InfiniteAge
	}
	slices.Sort(ages)
	return ages[need-1]
}

// OwnerFor returns the router to ask for duty on key. Exclusive duties stay with
// the owner of the previous view, if it is in the current one, until the binding to
// the previous view has ended. It returns false before the first view.
func (t *Table) OwnerFor(now time.Time, duty Duty, key string) (Member, bool) {
	t.mu.Lock()
	view, prev := t.view, t.prev
	bound := view != nil && t.boundTo(now) != 0
	t.mu.Unlock()
	if view == nil {
		return Member{}, false
	}
	if bound && duty.exclusive() {
		old, ok := prev.Owner(duty, key)
		if ok && view.Has(old.Name, old.Incarnation) {
			return old, true
		}
	}
	return view.Owner(duty, key)
}

// exclusive reports whether only one router may act on a key of d at a time.
func (d Duty) exclusive() bool {
	return d == DutyAdmission || d == DutySuspect || d == DutyOrders
}

// Live returns the routers that seem alive, including this one and those that join
// or are draining, sorted by name.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := []Member{t.self}
	for _, name := range t.names {
		if p := t.peers[name]; t.alive(p, now) {
			live = append(live, p.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return live
}
