package member

import (
	"time"
)

// alive reports whether p was heard recently enough. After a pause of this
// router, others get the full time again.
func (t *Table) alive(p *peer, now time.Time) bool {
	if p.heard.IsZero() {
		return false
	}
	return t.silence(p, now) <= t.deadAfter()
}

func (t *Table) deadAfter() time.Duration {
	if t.view == nil {
		return t.cfg.deadAfter(len(t.names) + 1)
	}
	return t.cfg.deadAfter(len(t.view.Members))
}

// silence is how long p has not been heard while this router was awake.
func (t *Table) silence(p *peer, now time.Time) time.Duration {
	if p.heard.Before(t.awake) {
		return now.Sub(t.awake)
	}
	return now.Sub(p.heard)
}

// updateView moves this router to the view that it wants, once it has wanted it
// for a moment and is no longer bound to the view before.
func (t *Table) updateView(now time.Time) {
	if t.view == nil {
		t.bootstrap(now)
		return
	}
	want := t.wantedView(now)
	if want.ID == t.view.ID {
		t.wanted = want.ID
		return
	}
	if want.ID != t.wanted {
		t.wanted = want.ID
		t.wantAt = now
		if !t.othersAreOn(want.ID, now) {
			return
		}
	}
	settled := now.Sub(t.wantAt) >= settleTicks*t.cfg.Tick || t.othersAreOn(want.ID, now)
	if !settled || t.boundTo(now) != 0 {
		return
	}
	t.moveTo(now, want)
}

func (t *Table) moveTo(now time.Time, v *View) {
	t.prev = t.view
	t.view = v
	t.since = now
	t.known.put(now, v, t.prev)
	t.known.pinned = [2]ViewID{v.ID}
	if t.prev != nil {
		t.known.pinned[1] = t.prev.ID
	}
}

// bootstrap makes the first view: the one that most peers are on, or, if none
// of them is on one, that of all routers heard so far.
func (t *Table) bootstrap(now time.Time) {
	age := now.Sub(t.start)
	if age < bootstrapTicks*t.cfg.Tick {
		return
	}
	if v, anyView := t.popularView(now); v != nil {
		t.moveTo(now, v)
		return
	} else if anyView && age < bootstrapMaxTicks*t.cfg.Tick {
		return
	}
	if !t.heardAllListed(now) && age < bootstrapMaxTicks*t.cfg.Tick {
		return
	}
	t.moveTo(now, t.viewOf(func(p *peer) (Member, bool) { return p.Member, t.alive(p, now) }))
}

// popularView returns the known view that most live peers are on. The second
// result tells whether any live peer is on a view.
func (t *Table) popularView(now time.Time) (*View, bool) {
	counts := make(map[ViewID]int)
	var best *View
	anyView := false
	for _, name := range t.names {
		p := t.peers[name]
		if p.stance.View == 0 || !t.alive(p, now) {
			continue
		}
		anyView = true
		counts[p.stance.View]++
		v := t.known.get(p.stance.View)
		if v != nil && (best == nil || counts[v.ID] > counts[best.ID]) {
			best = v
		}
	}
	return best, anyView
}

func (t *Table) heardAllListed(now time.Time) bool {
	for _, name := range t.names {
		p := t.peers[name]
		if p.listed && !t.alive(p, now) {
			return false
		}
	}
	return true
}

// wantedView is the view that this router's knowledge asks for.
func (t *Table) wantedView(now time.Time) *View {
	votes := t.votes(now)
	return t.viewOf(func(p *peer) (Member, bool) {
		i := t.view.Index(p.Name)
		switch {
		case i < 0:
			return p.Member, t.mayEnter(p, now, votes)
		case t.view.Members[i].Incarnation == p.Incarnation:
			return p.Member, t.staysIn(p, now, votes)
		case t.mayEnter(p, now, votes):
			return p.Member, true
		default: // a restarted host replaces its old process in one change
			return t.view.Members[i], t.alive(p, now)
		}
	})
}

func (t *Table) viewOf(choose func(*peer) (Member, bool)) *View {
	members := make([]Member, 0, len(t.names)+1)
	members = append(members, t.self)
	for _, name := range t.names {
		p := t.peers[name]
		if p.Draining || p.Incarnation == 0 {
			continue
		}
		if m, in := choose(p); in {
			members = append(members, m)
		}
	}
	v := NewView(members)
	if old := t.known.get(v.ID); old != nil {
		return old
	}
	return v
}

// staysIn reports whether a member of the view stays. The silence that is
// allowed is shorter once others have dropped the member.
func (t *Table) staysIn(p *peer, now time.Time, votes []*View) bool {
	silence := t.silence(p, now)
	if silence <= t.deadAfter()/2 {
		return true
	}
	for _, v := range votes {
		if !v.Has(p.Name, p.Incarnation) {
			return false
		}
	}
	return silence <= t.deadAfter()
}

// mayEnter reports whether p enters the view: it has been heard without a gap
// for long enough. Half the time suffices once others have taken it in.
func (t *Table) mayEnter(p *peer, now time.Time, votes []*View) bool {
	if p.heard.IsZero() || t.silence(p, now) > t.deadAfter()/2 {
		return false
	}
	need := t.cfg.Steady
	if flaps := p.recentFlaps(now); flaps > 1 {
		need <<= min(flaps-1, maxFlapDoublings)
	}
	for _, v := range votes {
		if v.Has(p.Name, p.Incarnation) {
			need /= 2
			break
		}
	}
	return now.Sub(p.steadySince) >= need
}

// votes returns the views, other than this router's, that live peers moved to
// and that this router has not been on lately.
func (t *Table) votes(now time.Time) []*View {
	var out []*View
	seen := map[ViewID]bool{t.view.ID: true, 0: true}
	if t.prev != nil {
		seen[t.prev.ID] = true
	}
	for _, name := range t.names {
		p := t.peers[name]
		if seen[p.stance.View] || t.silence(p, now) > t.deadAfter()/2 {
			continue
		}
		seen[p.stance.View] = true
		if v := t.known.get(p.stance.View); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// othersAreOn reports whether a live peer is already on the view id.
func (t *Table) othersAreOn(id ViewID, now time.Time) bool {
	for _, name := range t.names {
		p := t.peers[name]
		if p.stance.View == id && t.silence(p, now) <= t.deadAfter() {
			return true
		}
	}
	return false
}
