package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// maxStances bounds the vectors of ages in one message.
const maxStances = 5

// notInStance is the age of a member that is not in a vector's stance.
const notInStance = 255

// message returns what this router tells a peer.
func (t *Table) message(now time.Time) *peerpb.Gossip {
	stance := t.stance(now)
	m := &peerpb.Gossip{
		View:     uint64(stance.View),
		Prev:     uint64(stance.Prev),
		Boot:     t.self.Incarnation,
		UptimeMs: uint64(now.Sub(t.base).Milliseconds()),
		Ages:     t.ageVectors(now),
		Members:  t.outsiders(now),
		Deltas:   t.known.recent(now.Add(-deltaTicks * t.cfg.Tick)),
	}
	if t.view != nil {
		m.SinceMs = uint32(now.Sub(t.since).Milliseconds())
	}
	t.news.write(now, m)
	m.MajorityAgeMs = milliseconds(t.heardMajority(now))
	return m
}

// stance returns the stance that this router promises. A router that has just
// started promises nothing, since an earlier process of the same host may
// still be counted.
func (t *Table) stance(now time.Time) Binding {
	if t.view == nil || now.Sub(t.start) < t.cfg.hold(t.view) {
		return Binding{}
	}
	return Binding{View: t.view.ID, Prev: t.boundTo(now)}
}

// boundTo returns the earlier view that this router is still bound to, or 0.
func (t *Table) boundTo(now time.Time) ViewID {
	if t.prev == nil || now.Sub(t.since) >= t.cfg.hold(t.prev) {
		return 0
	}
	return t.prev.ID
}

// ageVectors returns one vector per stance in which members of a known view
// were last heard, the most common stances first.
func (t *Table) ageVectors(now time.Time) []*peerpb.ViewAges {
	if t.view == nil {
		return nil
	}
	var vectors []*peerpb.ViewAges
	byStance := make(map[Binding]*peerpb.ViewAges)
	counts := make(map[*peerpb.ViewAges]int)
	for _, name := range t.names {
		p := t.peers[name]
		age := t.encodeAge(now, p.heard)
		if age == notInStance || now.Sub(p.heard) > t.deadAfter() {
			continue
		}
		stance := t.vectorStance(p)
		if stance.View == 0 {
			continue
		}
		vector := byStance[stance]
		if vector == nil {
			vector = newVector(t.known.get(stance.View), stance)
			byStance[stance] = vector
			vectors = append(vectors, vector)
		}
		vector.Ages[t.known.get(stance.View).Index(name)] = age
		counts[vector]++
	}
	slices.SortStableFunc(vectors, func(a, b *peerpb.ViewAges) int { return cmp.Compare(counts[b], counts[a]) })
	return vectors[:min(len(vectors), maxStances)]
}

// vectorStance returns the stance whose vector can carry p, or the zero
// Stance if p has to be sent as an outsider.
func (t *Table) vectorStance(p *peer) Binding {
	v := t.known.get(p.stance.View)
	if v == nil || !v.Has(p.Name, p.Incarnation) {
		return Binding{}
	}
	return p.stance
}

func newVector(v *View, stance Binding) *peerpb.ViewAges {
	ages := make([]byte, len(v.Members))
	for i := range ages {
		ages[i] = notInStance
	}
	return &peerpb.ViewAges{View: uint64(stance.View), Prev: uint64(stance.Prev), Ages: ages}
}

// encodeAge rounds up, so that an age never looks younger than it is.
func (t *Table) encodeAge(now, heard time.Time) byte {
	if heard.IsZero() {
		return notInStance
	}
	unit := t.cfg.ageUnit()
	age := (now.Sub(heard) + unit - 1) / unit
	return byte(max(0, min(age, notInStance)))
}

// outsiders returns the members that no vector carries: those that join or
// leave, and all while there is no view.
func (t *Table) outsiders(now time.Time) []*peerpb.MemberState {
	var out []*peerpb.MemberState
	if t.view == nil || !t.view.Has(t.self.Name, t.self.Incarnation) || t.self.Draining {
		out = append(out, t.selfState(now))
	}
	for _, name := range t.names {
		p := t.peers[name]
		if p.heard.IsZero() || now.Sub(p.heard) > t.deadAfter() {
			continue
		}
		settled := t.vectorStance(p).View != 0 && t.view != nil && t.view.Has(p.Name, p.Incarnation)
		if !settled || p.Draining {
			out = append(out, p.state(now))
		}
	}
	return out
}

func (t *Table) selfState(now time.Time) *peerpb.MemberState {
	state := stateOf(&t.self)
	stance := t.stance(now)
	state.Incarnation = t.incarnation
	state.View, state.Prev = uint64(stance.View), uint64(stance.Prev)
	return state
}

func (p *peer) state(now time.Time) *peerpb.MemberState {
	state := stateOf(&p.Member)
	state.Incarnation = p.incarnation
	state.AgeMs = milliseconds(now.Sub(p.heard))
	state.View, state.Prev = uint64(p.stance.View), uint64(p.stance.Prev)
	return state
}

// fill adds what a peer needs that knows none of this router's views.
func (t *Table) fill(now time.Time, m *peerpb.Gossip) {
	if t.view == nil || t.fullsLeft <= 0 {
		return
	}
	t.fullsLeft--
	m.Deltas = append([]*peerpb.ViewDelta{deltaMessage(t.view, nil)}, m.Deltas...)
	for _, name := range t.names {
		p := t.peers[name]
		if !p.heard.IsZero() && t.alive(p, now) && p.Draining {
			m.Members = append(m.Members, p.state(now))
		}
	}
}

// milliseconds converts d for a message; it never looks younger than it is.
func milliseconds(d time.Duration) uint32 {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(max(0, min(ms, 1<<31)))
}
