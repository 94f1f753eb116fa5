package member

import (
	"math"
	"slices"
	"strings"
	"time"
)

// InfiniteAge is the age of what has not happened.
const InfiniteAge = time.Duration(math.MaxInt64)

// BindingCount is the number of routers with a live promise in one stance.
type BindingCount struct {
	View  *View
	Prev  *View // nil: bound to View alone
	Count int
}

// Bindings tells how many of the known routers have promised to keep to which
// views. It is immutable.
type Bindings struct {
	Self   Member
	Known  int
	Counts []BindingCount
}

// CountFor returns the number of routers that are bound to self as the owner of
// key. A router that is still bound to an earlier view counts only if self
// owns key under both views. Rival owners never count the same router.
func (s *Bindings) CountFor(duty Duty, key string) int {
	counted := 0
	for i := range s.Counts {
		if s.Counts[i].owned(s.Self, duty, key) {
			counted += s.Counts[i].Count
		}
	}
	return counted
}

// owned reports whether self owns key for the routers of c.
func (c *BindingCount) owned(self Member, duty Duty, key string) bool {
	return owns(c.View, self, duty, key) && (c.Prev == nil || owns(c.Prev, self, duty, key))
}

// owns reports whether self is the owner in v. A process that was restarted on
// the same address takes the place of the one before, which is gone.
func owns(v *View, self Member, duty Duty, key string) bool {
	owner, ok := v.Owner(duty, key)
	return ok && owner.Name == self.Name && (owner.Incarnation == self.Incarnation || owner.Peer == self.Peer)
}

// Bindings returns the shares at now. They hold until the next tick.
func (t *Table) Bindings(now time.Time) *Bindings {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(now)
	if t.shares == nil || now.Sub(t.sharesAt) > t.cfg.ageUnit() {
		t.shares = t.countShares(now)
		t.sharesAt = now
	}
	return t.shares
}

func (t *Table) countShares(now time.Time) *Bindings {
	s := &Bindings{Self: t.self, Known: t.knownCount(now)}
	if t.mayNotOwn(now) {
		return s
	}
	if !t.selfListed.IsZero() && now.Sub(t.selfListed) >= t.cfg.JoinGrace {
		s.add(t, t.stance(now))
	}
	for _, name := range t.names {
		p := t.peers[name]
		if t.counts(p, now) {
			s.add(t, p.stance)
		}
	}
	if s.minority() && !t.inAllViews(now) {
		s.Counts = nil
	}
	return s
}

// minority reports whether no more than half of the known routers are counted.
func (s *Bindings) minority() bool {
	counted := 0
	for i := range s.Counts {
		counted += s.Counts[i].Count
	}
	return 2*counted <= s.Known
}

// inAllViews reports whether all known routers were last heard on a view with
// this process. Another may not count this one as known yet, and then shares of
// a minority could come on top of the whole.
func (t *Table) inAllViews(now time.Time) bool {
	for _, name := range t.names {
		p := t.peers[name]
		if !t.isKnown(p, now) {
			continue
		}
		view := t.known.get(p.stance.View)
		if view == nil || !view.Has(t.self.Name, t.self.Incarnation) {
			return false
		}
	}
	return true
}

// mayNotOwn reports whether this router must not act as an owner: it was or is
// just being paused, or it hears no majority and cannot tell by the list either
// whether others still count it as known.
func (t *Table) mayNotOwn(now time.Time) bool {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseTicks*t.cfg.Tick
	if t.mustHear || paused {
		return true
	}
	return now.Sub(t.listedAt) > t.cfg.ForgetAfter/2 && t.heardMajority(now) > t.deadAfter()
}

// counts reports whether p has a live promise and is known to all by now.
func (t *Table) counts(p *peer, now time.Time) bool {
	view := t.known.get(p.stance.View)
	if p.heard.IsZero() || view == nil || now.Sub(p.heard) >= t.cfg.promise(view) {
		return false
	}
	return p.listed && now.Sub(p.listedSince) >= t.cfg.JoinGrace
}

func (s *Bindings) add(t *Table, stance Binding) {
	view := t.known.get(stance.View)
	if view == nil {
		return
	}
	var prev *View
	if stance.Prev != 0 {
		prev = t.known.get(stance.Prev)
		if prev == nil {
			return
		}
	}
	i := slices.IndexFunc(s.Counts, func(c BindingCount) bool { return c.View == view && c.Prev == prev })
	if i < 0 {
		i = len(s.Counts)
		s.Counts = append(s.Counts, BindingCount{View: view, Prev: prev})
	}
	s.Counts[i].Count++
}

// isKnown reports whether p is one of the routers that shares are counted
// of. A new host is known before any router counts it.
func (t *Table) isKnown(p *peer, now time.Time) bool {
	if p.listed && now.Sub(p.listedSince) >= t.cfg.JoinGrace/2 {
		return true
	}
	if p.wasListed && !p.listed && !p.dropped {
		return true
	}
	if !p.heard.IsZero() && now.Sub(p.heard) <= t.deadAfter() {
		return true // also if the list that was last read did not have it
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

// Known returns the number of routers of the region that this router knows of,
// itself included.
func (t *Table) Known(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knownCount(now)
}

// View returns the view that this router is on, or nil before the first.
func (t *Table) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// ViewSince returns when this router moved to its view.
func (t *Table) ViewSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since
}

// heardMajority returns how long ago this router had news of more than half of
// the routers that shares are counted of, itself included; Never if it has not.
// The news may have come through others.
func (t *Table) heardMajority(now time.Time) time.Duration {
	ages := make([]time.Duration, 1, len(t.names)+1) // itself at age 0
	known := 1
	for _, name := range t.names {
		p := t.peers[name]
		if !t.isKnown(p, now) {
			continue
		}
		known++
		if !p.heard.IsZero() {
			ages = append(ages, now.Sub(p.heard))
		}
	}
	need := known/2 + 1
	if len(ages) < need {
		return InfiniteAge
	}
	slices.Sort(ages)
	return ages[need-1]
}

// OwnerFor returns the router to ask for duty on key. Duties that only one
// router may act on stay with the earlier view's owner, if it lives, until
// the promise to that view has run out. It returns false before the first view.
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

// Live returns the routers that seem alive, this one included, sorted by name;
// also those that join or leave.
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
