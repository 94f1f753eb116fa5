package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// maxVectors bounds the number of age vectors in one message.
const maxVectors = 5

// absentAge marks a member that is not under the binding of a vector or not alive.
const absentAge = 255

// message returns the gossip message of this router.
func (t *Table) message(now time.Time) *peerpb.Gossip {
	binding := t.selfBinding(now)
	m := &peerpb.Gossip{
		View:     uint64(binding.View),
		Prev:     uint64(binding.Prev),
		Boot:     t.self.Incarnation,
		UptimeMs: uint64(now.Sub(t.base).Milliseconds()),
		Ages:     t.ageVectors(now),
		Members:  t.explicitMembers(now),
		Deltas:   t.viewStore.recent(now.Add(-deltaTicks * t.cfg.Tick)),
	}
	if t.view != nil {
		m.SinceMs = uint32(now.Sub(t.viewSince).Milliseconds())
	}
	t.configGossip.write(now, m)
	m.MajorityAgeMs = ceilMilliseconds(t.countedMajorityAge(now))
	return m
}

// selfBinding returns the binding that this router announces: none just after its
// start, since other routers may still count the earlier process of the same host.
func (t *Table) selfBinding(now time.Time) Binding {
	if t.view == nil || now.Sub(t.start) < t.cfg.bindingDuration(t.view) {
		return Binding{}
	}
	return Binding{View: t.view.ID, Prev: t.boundTo(now)}
}

// boundTo returns the earlier view that this router is still bound to, or 0.
func (t *Table) boundTo(now time.Time) ViewID {
	if t.prev == nil || now.Sub(t.viewSince) >= t.cfg.bindingDuration(t.prev) {
		return 0
	}
	return t.prev.ID
}

// ageVectors returns one vector of ages for each binding under which live members of
// a known view were last seen, the most common bindings first.
func (t *Table) ageVectors(now time.Time) []*peerpb.ViewAges {
	if t.view == nil {
		return nil
	}
	var vectors []*peerpb.ViewAges
	byBinding := make(map[Binding]*peerpb.ViewAges)
	counts := make(map[*peerpb.ViewAges]int)
	for _, name := range t.names {
		p := t.peers[name]
		age := t.encodeAge(now, p.lastSeen)
		if age == absentAge || now.Sub(p.lastSeen) > t.deadAfter() {
			continue
		}
		binding := t.vectorBinding(p)
		if binding.View == 0 {
			continue
		}
		vector := byBinding[binding]
		if vector == nil {
			vector = newVector(t.viewStore.get(binding.View), binding)
			byBinding[binding] = vector
			vectors = append(vectors, vector)
		}
		vector.Ages[t.viewStore.get(binding.View).Index(name)] = age
		counts[vector]++
	}
	slices.SortStableFunc(vectors, func(a, b *peerpb.ViewAges) int { return cmp.Compare(counts[b], counts[a]) })
	return vectors[:min(len(vectors), maxVectors)]
}

// vectorBinding returns the binding whose vector can carry p, or the zero Binding
// if p must be sent as an explicit member.
func (t *Table) vectorBinding(p *peer) Binding {
	v := t.viewStore.get(p.binding.View)
	if v == nil || !v.Has(p.Name, p.Incarnation) {
		return Binding{}
	}
	return p.binding
}

func newVector(v *View, binding Binding) *peerpb.ViewAges {
	ages := make([]byte, len(v.Members))
	for i := range ages {
		ages[i] = absentAge
	}
	return &peerpb.ViewAges{View: uint64(binding.View), Prev: uint64(binding.Prev), Ages: ages}
}

// encodeAge rounds up, so that an age never appears smaller than it is.
func (t *Table) encodeAge(now, lastSeen time.Time) byte {
	if lastSeen.IsZero() {
		return absentAge
	}
	unit := t.cfg.ageUnit()
	age := (now.Sub(lastSeen) + unit - 1) / unit
	return byte(max(0, min(age, absentAge)))
}

// explicitMembers returns the members that no vector carries: those that join or
// are draining, and all members while there is no view.
func (t *Table) explicitMembers(now time.Time) []*peerpb.MemberState {
	var out []*peerpb.MemberState
	if t.view == nil || !t.view.Has(t.self.Name, t.self.Incarnation) || t.self.Draining {
		out = append(out, t.selfState(now))
	}
	for _, name := range t.names {
		p := t.peers[name]
		if p.lastSeen.IsZero() || now.Sub(p.lastSeen) > t.deadAfter() {
			continue
		}
		inVector := t.vectorBinding(p).View != 0 && t.view != nil && t.view.Has(p.Name, p.Incarnation)
		if !inVector || p.Draining {
			out = append(out, p.state(now))
		}
	}
	return out
}

func (t *Table) selfState(now time.Time) *peerpb.MemberState {
	state := stateOf(&t.self)
	binding := t.selfBinding(now)
	state.Incarnation = t.attributeVersion
	state.View, state.Prev = uint64(binding.View), uint64(binding.Prev)
	return state
}

func (p *peer) state(now time.Time) *peerpb.MemberState {
	state := stateOf(&p.Member)
	state.Incarnation = p.attributeVersion
	state.AgeMs = ceilMilliseconds(now.Sub(p.lastSeen))
	state.View, state.Prev = uint64(p.binding.View), uint64(p.binding.Prev)
	return state
}

// addFullState adds the whole view and the draining members, for a peer without them.
func (t *Table) addFullState(now time.Time, m *peerpb.Gossip) {
	if t.view == nil || t.fullStatesLeft <= 0 {
		return
	}
	t.fullStatesLeft--
	m.Deltas = append([]*peerpb.ViewDelta{deltaMessage(t.view, nil)}, m.Deltas...)
	for _, name := range t.names {
		p := t.peers[name]
		if !p.lastSeen.IsZero() && t.alive(p, now) && p.Draining {
			m.Members = append(m.Members, p.state(now))
		}
	}
}

// ceilMilliseconds rounds up, so that an age never appears smaller than it is.
func ceilMilliseconds(d time.Duration) uint32 {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(max(0, min(ms, 1<<31)))
}
