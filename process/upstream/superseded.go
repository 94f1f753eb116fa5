package upstream

import (
	"slices"
	"strings"
	"time"
)

// supersededTime is the time after which the registry has dropped the entry of a process that
// ended. An entry that still stands belongs to one that runs.
const supersededTime = 5 * time.Second

// supersession is the registration of a newer process at the address of an endpoint.
type supersession struct {
	by Incarnation
	at time.Time
}

// supersede compares an endpoint that was added with the others at its address, where one process
// at a time listens, and marks those whose process has ended. One that had been removed is older than
// one that had not: a write that its process made before it ended may arrive late.
func (t *Table) supersede(now time.Time, ep *endpoint) []Event {
	var others []*endpoint
	for _, other := range t.byID {
		if other != ep && other.Addr == ep.Addr && !(ep.returned && other.returned) {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	var events []Event
	for _, other := range others {
		older, newer := other, ep
		if ep.returned {
			older, newer = ep, other
		}
		if !older.supersession.at.IsZero() {
			continue // once in a life, as entries of other writers may name its address again and again
		}
		older.supersession = supersession{by: Incarnation{newer.ID, newer.Started}, at: now}
		events = append(events, Event{Action: "superseded", Entry: older.Entry})
	}
	return events
}

// isSuperseded reports whether the address of an endpoint belongs to a newer process, as far as
// known: the newer one has not been found missing there. That the older one writes its entry once
// more shows nothing, as the write may be late.
func (t *Table) isSuperseded(now time.Time, ep *endpoint) bool {
	s := ep.supersession
	if s.at.IsZero() || now.Sub(s.at) >= supersededTime {
		return false
	}
	newer := t.byID[s.by.ID]
	return newer != nil && newer.Started == s.by.Started && newer.Addr == ep.Addr && !newer.health.unreachableAt.After(s.at)
}
