package member

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// clockDrift is the largest drift between two routers' clocks, as a share.
const clockDrift = 1e-3

// stallShare is the share of a tick, as a divisor, by which a call may be late
// before it counts as a pause.
const stallShare = 5

// HandleGossip takes a message from the router called from and returns the replies.
func (t *Table) HandleGossip(now time.Time, from string, m *peerpb.Gossip) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(now)
	t.noticeStall(now)
	if from == t.self.Name {
		return nil
	}
	lacking := t.learnViews(now, m)
	p := t.peers[from]
	if p == nil {
		p = t.add(Member{Name: from, Region: t.self.Region})
	}
	at := t.sentAt(now, p, m)
	t.mergeMembers(now, at, m)
	t.heard(now, p, m.Boot, at, Binding{View: ViewID(m.View), Prev: ViewID(m.Prev)})
	lacking = t.mergeAges(now, at, m) || lacking
	t.news.read(at, m)
	t.shares = nil
	return t.replies(now, p, m, lacking)
}

// learnViews takes in the views that m describes and reports whether one of
// them could not be built.
func (t *Table) learnViews(now time.Time, m *peerpb.Gossip) bool {
	lacking := false
	for _, delta := range m.Deltas {
		if !t.known.learn(now, delta) {
			lacking = lacking || delta.View == m.View
			continue
		}
		for _, state := range delta.Added {
			t.introduce(state)
		}
	}
	return lacking
}

// introduce enters a member that only a view mentions so far.
func (t *Table) introduce(state *peerpb.MemberState) {
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

// sentAt estimates when m was sent. The sender's uptime shows how much longer
// than the quickest message m took; a message that waited while this router
// was paused is not taken for a new one. Of a process that was not heard before,
// nothing is known of the time that m took, so that m is as old as it can be:
// sent right after the last moment at which this router was known to run.
func (t *Table) sentAt(now time.Time, p *peer, m *peerpb.Gossip) time.Time {
	offset := now.Sub(t.base) - time.Duration(m.UptimeMs)*time.Millisecond
	if p.clockBoot != m.Boot {
		if t.draining(now) {
			return t.stalledFrom
		}
		p.clockBoot = m.Boot
		p.clockOffset = offset
		p.clockAt = now
		return t.callBefore
	}
	drift := time.Duration(float64(now.Sub(p.clockAt)) * clockDrift)
	p.clockOffset = min(offset, p.clockOffset+drift)
	p.clockAt = now
	return now.Add(p.clockOffset - offset)
}

// noticeStall compares the clock with the last call. After a pause, the
// messages that waited come in within a tick.
func (t *Table) noticeStall(now time.Time) {
	if t.lastCall.IsZero() {
		t.lastCall = now
	}
	if now.Sub(t.lastCall) > t.cfg.Tick+t.cfg.Tick/stallShare {
		t.stalledFrom = t.lastCall
		t.stalledTo = now
	}
	if now.After(t.lastCall) {
		t.callBefore = t.lastCall
		t.lastCall = now
	}
}

// draining reports whether messages that come in may have waited during a
// pause.
func (t *Table) draining(now time.Time) bool {
	return !t.stalledTo.IsZero() && now.Sub(t.stalledTo) < t.cfg.Tick
}

// heard notes that the process boot of p sent a message at the given time in
// the given stance. It reports whether that was news.
func (t *Table) heard(now time.Time, p *peer, boot uint64, at time.Time, stance Binding) bool {
	if at.After(now) {
		at = now
	}
	if !at.After(p.heard) {
		return false
	}
	if p.Incarnation != boot {
		if p.Incarnation != 0 && !p.heard.IsZero() {
			t.noteFlap(p, at)
			p.steadySince = at
			p.incarnation = 0
			p.Draining = false
		}
		p.Incarnation = boot
	}
	if p.heard.IsZero() {
		p.steadySince = at
	} else if at.Sub(p.heard) > t.deadAfter() {
		t.noteFlap(p, at)
		p.steadySince = at
	}
	p.heard = at
	if p.stance != stance || p.stanceSince.Before(p.steadySince) {
		p.stanceSince = at
	}
	p.stance = stance
	p.dropped = false
	p.knownUntil = at.Add(t.cfg.ForgetAfter)
	return true
}

func (t *Table) noteFlap(p *peer, at time.Time) {
	p.flaps = p.recentFlaps(at) + 1
	p.flapAt = at
}

// recentFlaps forgets one death per flapMemory.
func (p *peer) recentFlaps(at time.Time) int {
	return max(0, p.flaps-int(at.Sub(p.flapAt)/flapMemory))
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

// mergeSelf lets a router learn that the list marks it as leaving.
func (t *Table) mergeSelf(state *peerpb.MemberState) {
	if state.Boot != t.self.Incarnation || !state.Leaving || t.self.Draining {
		return
	}
	if state.Incarnation >= t.incarnation {
		t.self.Draining = true
		t.incarnation = state.Incarnation + 1
	}
}

func (t *Table) mergeMember(now, at time.Time, state *peerpb.MemberState) {
	p := t.peers[state.Name]
	if p == nil {
		p = t.add(Member{Name: state.Name, Region: state.Region})
	}
	sent := at.Add(-time.Duration(state.AgeMs) * time.Millisecond)
	known := p.Incarnation == state.Boot
	if !known && !sent.After(p.heard) {
		return
	}
	t.heard(now, p, state.Boot, sent, Binding{View: ViewID(state.View), Prev: ViewID(state.Prev)})
	if p.Incarnation != state.Boot {
		return
	}
	t.mergeAttributes(p, state)
}

// mergeAttributes takes the entry with the higher incarnation; between equals,
// the one that leaves.
func (t *Table) mergeAttributes(p *peer, state *peerpb.MemberState) {
	if state.Incarnation < p.incarnation {
		return
	}
	if state.Incarnation > p.incarnation {
		p.Draining = state.Leaving
	}
	p.Draining = p.Draining || state.Leaving
	p.incarnation = state.Incarnation
	p.Zone = state.Zone
	if a := parseAddress(state.Peer); a.IsValid() {
		p.Peer = a
	}
	if a := parseAddress(state.Caller); a.IsValid() {
		p.Caller = a
	}
}

// mergeAges takes in the vectors of m and reports whether one was of an
// unknown view.
func (t *Table) mergeAges(now, at time.Time, m *peerpb.Gossip) bool {
	lacking := m.View != 0 && t.known.get(ViewID(m.View)) == nil
	for _, vector := range m.Ages {
		v := t.known.get(ViewID(vector.View))
		if v == nil || len(v.Members) != len(vector.Ages) {
			lacking = true
			continue
		}
		t.mergeVector(now, at, v, vector)
	}
	return lacking
}

func (t *Table) mergeVector(now, at time.Time, v *View, vector *peerpb.ViewAges) {
	unit := t.cfg.ageUnit()
	stance := Binding{View: v.ID, Prev: ViewID(vector.Prev)}
	for i, age := range vector.Ages {
		m := &v.Members[i]
		if age == notInStance || m.Name == t.self.Name {
			continue
		}
		p := t.peers[m.Name]
		if p == nil {
			p = t.add(*m)
		}
		t.heard(now, p, m.Incarnation, at.Add(-time.Duration(age)*unit), stance)
	}
}

func (t *Table) replies(now time.Time, p *peer, m *peerpb.Gossip, lacking bool) []Outgoing {
	if m.IsReply && !m.WantMembers {
		return nil
	}
	if !p.Peer.IsValid() {
		return nil
	}
	reply := t.message(now)
	reply.IsReply = true
	reply.WantMembers = lacking && !m.IsReply
	if m.WantMembers {
		t.fill(now, reply)
	}
	return []Outgoing{{To: p.Member, Message: reply}}
}
