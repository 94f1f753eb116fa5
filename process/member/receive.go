package member

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// clockDrift is the maximum relative drift between two routers' clocks.
const clockDrift = 1e-3

// stallDivisor sets the delay that counts as a stall: a call that comes later than
// Tick + Tick/stallDivisor after the last one.
const stallDivisor = 5

// HandleGossip applies a message sent by the router sender and returns the replies.
func (t *Table) HandleGossip(now time.Time, sender string, m *peerpb.Gossip) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initTimes(now)
	t.detectStall(now)
	if sender == t.self.Name {
		return nil
	}
	incomplete := t.learnViews(now, m)
	p := t.peers[sender]
	if p == nil {
		p = t.add(Member{Name: sender, Region: t.self.Region})
	}
	at := t.sentAt(now, p, m)
	t.mergeMembers(now, at, m)
	t.recordAlive(now, p, m.Boot, at, Binding{View: ViewID(m.View), Prev: ViewID(m.Prev)})
	incomplete = t.mergeAges(now, at, m) || incomplete
	t.configGossip.read(at, m)
	t.bindings = nil
	return t.replies(now, p, m, incomplete)
}

// learnViews stores the views that m describes and reports whether the sender's
// view could not be built.
func (t *Table) learnViews(now time.Time, m *peerpb.Gossip) bool {
	incomplete := false
	for _, delta := range m.Deltas {
		if !t.viewStore.learn(now, delta) {
			incomplete = incomplete || delta.View == m.View
			continue
		}
		for _, state := range delta.Added {
			t.addFromView(state)
		}
	}
	return incomplete
}

// addFromView adds a member that is so far known only from a view.
func (t *Table) addFromView(state *peerpb.MemberState) {
	if state.Name == t.self.Name || state.Region != t.self.Region {
		return
	}
	p := t.peers[state.Name]
	if p == nil {
		p = t.add(memberOf(state))
	}
	if p.Incarnation == 0 {
		p.Incarnation = state.Boot
	}
	if !p.Peer.IsValid() {
		p.Peer = parseAddress(state.Peer)
		p.Caller = parseAddress(state.Caller)
		p.Zone = state.Zone
	}
}

// sentAt estimates when m was sent. The sender's uptime shows how much longer m
// took than the fastest message, so a message that waited while this router was
// paused is not taken for a new one. For a process that was not seen before, the
// delay is unknown and m is assumed to be as old as possible: sent right after the
// last moment at which this router was known to run, or at the start of a stall.
func (t *Table) sentAt(now time.Time, p *peer, m *peerpb.Gossip) time.Time {
	offset := now.Sub(t.base) - time.Duration(m.UptimeMs)*time.Millisecond
	if p.clockIncarnation != m.Boot {
		if t.afterStall(now) {
			return t.stalledFrom
		}
		p.clockIncarnation = m.Boot
		p.clockOffset = offset
		p.clockAt = now
		return t.previousCall
	}
	drift := time.Duration(float64(now.Sub(p.clockAt)) * clockDrift)
	p.clockOffset = min(offset, p.clockOffset+drift)
	p.clockAt = now
	return now.Add(p.clockOffset - offset)
}

// detectStall compares the clock with the last call. After a stall, the messages
// that waited are assumed to arrive within a tick.
func (t *Table) detectStall(now time.Time) {
	if t.lastCall.IsZero() {
		t.lastCall = now
	}
	if now.Sub(t.lastCall) > t.cfg.Tick+t.cfg.Tick/stallDivisor {
		t.stalledFrom = t.lastCall
		t.stalledTo = now
	}
	if now.After(t.lastCall) {
		t.previousCall = t.lastCall
		t.lastCall = now
	}
}

// afterStall reports whether messages that arrive now may have waited during a
// stall.
func (t *Table) afterStall(now time.Time) bool {
	return !t.stalledTo.IsZero() && now.Sub(t.stalledTo) < t.cfg.Tick
}

// recordAlive records that the given process of p sent a message at the given
// time under the given binding. It returns false if this was known already.
func (t *Table) recordAlive(now time.Time, p *peer, incarnation uint64, at time.Time, binding Binding) bool {
	if at.After(now) {
		at = now
	}
	if !at.After(p.lastSeen) {
		return false
	}
	if p.Incarnation != incarnation {
		if p.Incarnation != 0 && !p.lastSeen.IsZero() {
			t.recordDeath(p, at)
			p.aliveSince = at
			p.attributeVersion = 0
			p.Draining = false
		}
		p.Incarnation = incarnation
	}
	if p.lastSeen.IsZero() {
		p.aliveSince = at
	} else if at.Sub(p.lastSeen) > t.deadAfter() {
		t.recordDeath(p, at)
		p.aliveSince = at
	}
	p.lastSeen = at
	if p.binding != binding || p.bindingSince.Before(p.aliveSince) {
		p.bindingSince = at
	}
	p.binding = binding
	p.dropped = false
	p.knownUntil = at.Add(t.cfg.ForgetAfter)
	return true
}

func (t *Table) recordDeath(p *peer, at time.Time) {
	p.deaths = p.recentDeaths(at) + 1
	p.lastDeathAt = at
}

// recentDeaths returns the deaths, less one per deathMemory since the last.
func (p *peer) recentDeaths(at time.Time) int {
	return max(0, p.deaths-int(at.Sub(p.lastDeathAt)/deathMemory))
}

func (t *Table) mergeMembers(now, at time.Time, m *peerpb.Gossip) {
	for _, state := range m.Members {
		if state.Region != t.self.Region {
			continue
		}
		if state.Name == t.self.Name {
			t.mergeSelf(state)
			continue
		}
		t.mergeMember(now, at, state)
	}
}

// mergeSelf marks this router as draining if the list that a peer read says so.
func (t *Table) mergeSelf(state *peerpb.MemberState) {
	if state.Boot != t.self.Incarnation || !state.Leaving || t.self.Draining {
		return
	}
	if state.Incarnation >= t.attributeVersion {
		t.self.Draining = true
		t.attributeVersion = state.Incarnation + 1
	}
}

func (t *Table) mergeMember(now, at time.Time, state *peerpb.MemberState) {
	p := t.peers[state.Name]
	if p == nil {
		p = t.add(Member{Name: state.Name, Region: state.Region})
	}
	sent := at.Add(-time.Duration(state.AgeMs) * time.Millisecond)
	sameProcess := p.Incarnation == state.Boot
	if !sameProcess && !sent.After(p.lastSeen) {
		return
	}
	t.recordAlive(now, p, state.Boot, sent, Binding{View: ViewID(state.View), Prev: ViewID(state.Prev)})
	if p.Incarnation != state.Boot {
		return
	}
	t.mergeAttributes(p, state)
}

// mergeAttributes applies the attributes with the higher version; for equal
// versions, draining wins.
func (t *Table) mergeAttributes(p *peer, state *peerpb.MemberState) {
	if state.Incarnation < p.attributeVersion {
		return
	}
	if state.Incarnation > p.attributeVersion {
		p.Draining = state.Leaving
	}
	p.Draining = p.Draining || state.Leaving
	p.attributeVersion = state.Incarnation
	p.Zone = state.Zone
	if a := parseAddress(state.Peer); a.IsValid() {
		p.Peer = a
	}
	if a := parseAddress(state.Caller); a.IsValid() {
		p.Caller = a
	}
}

// mergeAges applies the vectors of m and reports whether a view is unknown.
func (t *Table) mergeAges(now, at time.Time, m *peerpb.Gossip) bool {
	incomplete := m.View != 0 && t.viewStore.get(ViewID(m.View)) == nil
	for _, vector := range m.Ages {
		v := t.viewStore.get(ViewID(vector.View))
		if v == nil || len(v.Members) != len(vector.Ages) {
			incomplete = true
			continue
		}
		t.mergeVector(now, at, v, vector)
	}
	return incomplete
}

func (t *Table) mergeVector(now, at time.Time, v *View, vector *peerpb.ViewAges) {
	unit := t.cfg.ageUnit()
	binding := Binding{View: v.ID, Prev: ViewID(vector.Prev)}
	for i, age := range vector.Ages {
		m := &v.Members[i]
		if age == absentAge || m.Name == t.self.Name {
			continue
		}
		p := t.peers[m.Name]
		if p == nil {
			p = t.add(*m)
		}
		t.recordAlive(now, p, m.Incarnation, at.Add(-time.Duration(age)*unit), binding)
	}
}

// replies returns the reply to m. A reply is answered only if it wants members.
func (t *Table) replies(now time.Time, p *peer, m *peerpb.Gossip, incomplete bool) []Outgoing {
	if m.IsReply && !m.WantMembers {
		return nil
	}
	if !p.Peer.IsValid() {
		return nil
	}
	reply := t.message(now)
	reply.IsReply = true
	reply.WantMembers = incomplete && !m.IsReply
	if m.WantMembers {
		t.addFullState(now, reply)
	}
	return []Outgoing{{To: p.Member, Message: reply}}
}
