package member

import (
	"time"
)

// alive reports whether p was seen recently enough. After a pause of this router,
// the full time of deadAfter starts again for all peers.
func (t *Table) alive(p *peer, now time.Time) bool {
	if p.lastSeen.IsZero() {
		return false
	}
	return t.unseenFor(p, now) <= t.deadAfter()
}

func (t *Table) deadAfter() time.Duration {
	if t.view == nil {
		return t.cfg.deadAfter(len(t.names) + 1)
	}
	return t.cfg.deadAfter(len(t.view.Members))
}

// unseenFor is how long p has not been seen while this router was running.
func (t *Table) unseenFor(p *peer, now time.Time) time.Duration {
	if p.lastSeen.Before(t.resumedAt) {
		return now.Sub(t.resumedAt)
	}
	return now.Sub(p.lastSeen)
}

// updateView switches to the next view once the binding to the previous view has
// ended and the next one has been the candidate for settleTicks or a live peer is
// already on it.
func (t *Table) updateView(now time.Time) {
	if t.view == nil {
		t.bootstrap(now)
		return
	}
	next := t.nextView(now)
	if next.ID == t.view.ID {
		t.candidateView = next.ID
		return
	}
	if next.ID != t.candidateView {
		t.candidateView = next.ID
		t.candidateSince = now
		if !t.anyPeerOn(next.ID, now) {
			return
		}
	}
	settled := now.Sub(t.candidateSince) >= settleTicks*t.cfg.Tick || t.anyPeerOn(next.ID, now)
	if !settled || t.boundTo(now) != 0 {
		return
	}
	t.switchTo(now, next)
}

func (t *Table) switchTo(now time.Time, v *View) {
	t.prev = t.view
	t.view = v
	t.viewSince = now
	t.viewStore.put(now, v, t.prev)
	t.viewStore.pinned = [2]ViewID{v.ID}
	if t.prev != nil {
		t.viewStore.pinned[1] = t.prev.ID
	}
}

// bootstrap forms the first view: the known one that most live peers are on, or, if
// there is none in time, that of all live routers.
func (t *Table) bootstrap(now time.Time) {
	age := now.Sub(t.start)
	if age < bootstrapTicks*t.cfg.Tick {
		return
	}
	if v, anyView := t.mostCommonView(now); v != nil {
		t.switchTo(now, v)
		return
	} else if anyView && age < bootstrapMaxTicks*t.cfg.Tick {
		return
	}
	if !t.allListedAlive(now) && age < bootstrapMaxTicks*t.cfg.Tick {
		return
	}
	t.switchTo(now, t.viewOf(func(p *peer) (Member, bool) { return p.Member, t.alive(p, now) }))
}

// mostCommonView returns the known view that most live peers are on. The second
// result tells whether any live peer is on a view.
func (t *Table) mostCommonView(now time.Time) (*View, bool) {
	counts := make(map[ViewID]int)
	var best *View
	anyView := false
	for _, name := range t.names {
		p := t.peers[name]
		if p.binding.View == 0 || !t.alive(p, now) {
			continue
		}
		anyView = true
		counts[p.binding.View]++
		v := t.viewStore.get(p.binding.View)
		if v != nil && (best == nil || counts[v.ID] > counts[best.ID]) {
			best = v
		}
	}
	return best, anyView
}

func (t *Table) allListedAlive(now time.Time) bool {
	for _, name := range t.names {
		p := t.peers[name]
		if p.listed && !t.alive(p, now) {
			return false
		}
	}
	return true
}

// nextView returns the view that follows from the state of the peers.
func (t *Table) nextView(now time.Time) *View {
	peerViews := t.viewsOfPeers(now)
	return t.viewOf(func(p *peer) (Member, bool) {
		i := t.view.Index(p.Name)
		switch {
		case i < 0:
			return p.Member, t.mayJoin(p, now, peerViews)
		case t.view.Members[i].Incarnation == p.Incarnation:
			return p.Member, t.remains(p, now, peerViews)
		case t.mayJoin(p, now, peerViews):
			return p.Member, true
		default: // the earlier process of a restarted host stays until the new one replaces it in one change
			return t.view.Members[i], t.alive(p, now)
		}
	})
}

func (t *Table) viewOf(selectMember func(*peer) (Member, bool)) *View {
	members := make([]Member, 0, len(t.names)+1)
	members = append(members, t.self)
	for _, name := range t.names {
		p := t.peers[name]
		if p.Draining || p.Incarnation == 0 {
			continue
		}
		if m, in := selectMember(p); in {
			members = append(members, m)
		}
	}
	v := NewView(members)
	if old := t.viewStore.get(v.ID); old != nil {
		return old
	}
	return v
}

// remains reports whether a member stays in the view. Only half of deadAfter without
// a message is allowed once a live peer is on a view without the member.
func (t *Table) remains(p *peer, now time.Time, peerViews []*View) bool {
	unseen := t.unseenFor(p, now)
	if unseen <= t.deadAfter()/2 {
		return true
	}
	for _, v := range peerViews {
		if !v.Has(p.Name, p.Incarnation) {
			return false
		}
	}
	return unseen <= t.deadAfter()
}

// mayJoin reports whether p enters the view: it has been alive without a gap for
// long enough. Half the time suffices once a live peer is on a view with it.
func (t *Table) mayJoin(p *peer, now time.Time, peerViews []*View) bool {
	if p.lastSeen.IsZero() || t.unseenFor(p, now) > t.deadAfter()/2 {
		return false
	}
	need := t.cfg.StableTime
	if deaths := p.recentDeaths(now); deaths > 1 {
		need <<= min(deaths-1, maxDeathDoublings) // doubled by each recent death after the first
	}
	for _, v := range peerViews {
		if v.Has(p.Name, p.Incarnation) {
			need /= 2
			break
		}
	}
	return now.Sub(p.aliveSince) >= need
}

// viewsOfPeers returns the views that live peers switched to, without this
// router's current and previous ones.
func (t *Table) viewsOfPeers(now time.Time) []*View {
	var out []*View
	skip := map[ViewID]bool{t.view.ID: true, 0: true}
	if t.prev != nil {
		skip[t.prev.ID] = true
	}
	for _, name := range t.names {
		p := t.peers[name]
		if skip[p.binding.View] || t.unseenFor(p, now) > t.deadAfter()/2 {
			continue
		}
		skip[p.binding.View] = true
		if v := t.viewStore.get(p.binding.View); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// anyPeerOn reports whether a live peer is already on the view with this ID.
func (t *Table) anyPeerOn(id ViewID, now time.Time) bool {
	for _, name := range t.names {
		p := t.peers[name]
		if p.binding.View == id && t.unseenFor(p, now) <= t.deadAfter() {
			return true
		}
	}
	return false
}
