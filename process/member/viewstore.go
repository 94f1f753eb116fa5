package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// maxViews bounds the number of stored views.
const maxViews = 32

// viewStore stores the members of recent views by ID, and the delta that led from
// an earlier view to each.
type viewStore struct {
	views  map[ViewID]*View
	deltas []viewDelta // oldest first
	pinned [2]ViewID   // current and previous view, never removed
}

type viewDelta struct {
	id      ViewID
	at      time.Time // when it was learned
	message *peerpb.ViewDelta
}

func newViewStore() viewStore {
	return viewStore{views: make(map[ViewID]*View)}
}

// get returns the view with this ID, or nil.
func (s *viewStore) get(id ViewID) *View {
	return s.views[id]
}

// put stores v and the delta from base, the view before it; base may be nil.
func (s *viewStore) put(now time.Time, v, base *View) {
	if s.views[v.ID] != nil {
		s.touch(now, v.ID)
		return
	}
	s.views[v.ID] = v
	s.deltas = append(s.deltas, viewDelta{id: v.ID, at: now, message: deltaMessage(v, base)})
	if len(s.deltas) > maxViews {
		s.dropOldest()
	}
}

func (s *viewStore) dropOldest() {
	for i := range s.deltas {
		id := s.deltas[i].id
		if id != s.pinned[0] && id != s.pinned[1] {
			delete(s.views, id)
			s.deltas = slices.Delete(s.deltas, i, i+1)
			return
		}
	}
}

// touch makes the view with this ID the newest, so that its delta is gossiped again.
func (s *viewStore) touch(now time.Time, id ViewID) {
	i := slices.IndexFunc(s.deltas, func(d viewDelta) bool { return d.id == id })
	d := s.deltas[i]
	d.at = now
	s.deltas = append(slices.Delete(s.deltas, i, i+1), d)
}

// learn builds a view from a received delta. It returns false if the base is
// unknown or the result is not the view that the delta names.
func (s *viewStore) learn(now time.Time, message *peerpb.ViewDelta) bool {
	id := ViewID(message.View)
	if s.views[id] != nil {
		return true
	}
	base := &View{}
	if message.Base != 0 {
		base = s.views[ViewID(message.Base)]
	}
	if base == nil {
		return false
	}
	v := applyDelta(base, message)
	if v.ID != id {
		return false
	}
	s.put(now, v, base)
	return true
}

// recent returns the deltas stored since the given time, except those without a
// base, which are as large as the fleet.
func (s *viewStore) recent(since time.Time) []*peerpb.ViewDelta {
	var out []*peerpb.ViewDelta
	for i := range s.deltas {
		if s.deltas[i].at.After(since) && s.deltas[i].message.Base != 0 {
			out = append(out, s.deltas[i].message)
		}
	}
	return out
}

// deltaMessage describes v relative to base; without a base it lists all members.
func deltaMessage(v, base *View) *peerpb.ViewDelta {
	message := &peerpb.ViewDelta{View: uint64(v.ID)}
	if base == nil {
		base = &View{}
	} else {
		message.Base = uint64(base.ID)
	}
	for i := range base.Members {
		if v.Index(base.Members[i].Name) < 0 {
			message.Removed = append(message.Removed, base.Members[i].Name)
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		if !base.Has(m.Name, m.Incarnation) {
			message.Added = append(message.Added, stateOf(m))
		}
	}
	return message
}

func applyDelta(base *View, message *peerpb.ViewDelta) *View {
	changed := make(map[string]bool, len(message.Removed)+len(message.Added))
	for _, name := range message.Removed {
		changed[name] = true
	}
	for _, state := range message.Added {
		changed[state.Name] = true
	}
	members := make([]Member, 0, len(base.Members)+len(message.Added))
	for i := range base.Members {
		if !changed[base.Members[i].Name] {
			members = append(members, base.Members[i])
		}
	}
	for _, state := range message.Added {
		members = append(members, memberOf(state))
	}
	return NewView(members)
}

// Has reports whether the process with this incarnation on host name is in v.
func (v *View) Has(name string, incarnation uint64) bool {
	i := v.Index(name)
	return i >= 0 && v.Members[i].Incarnation == incarnation
}

func stateOf(m *Member) *peerpb.MemberState {
	return &peerpb.MemberState{
		Name: m.Name, Boot: m.Incarnation, Zone: m.Zone, Region: m.Region, Leaving: m.Draining,
		Peer: addressText(m.Peer), Caller: addressText(m.Caller),
	}
}

func memberOf(s *peerpb.MemberState) Member {
	return Member{
		Name: s.Name, Incarnation: s.Boot, Zone: s.Zone, Region: s.Region, Draining: s.Leaving,
		Peer: parseAddress(s.Peer), Caller: parseAddress(s.Caller),
	}
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// parseAddress returns the zero address, to which nothing is sent, for malformed text.
func parseAddress(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
