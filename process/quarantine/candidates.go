package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// newPartCrashes is the number of consecutive crashes that a part explains until it is
	// suspected, if no run with it is known to have completed, and provenPartCrashes the
	// number if one has.
	newPartCrashes    = 3
	provenPartCrashes = 5
	// partCoverage is the share of the crashes since a part's first one that it must explain,
	// unless it explains manyCrashes: several parts may crash endpoints at once.
	partCoverage = 0.4
	manyCrashes  = 8
	// aboutAsMany is the share of the crashes explained by the best part at which another
	// one explains about as many.
	aboutAsMany = 0.8
	// provenPartTime is how long a part with completed runs must have had none.
	provenPartTime = 1500 * time.Millisecond
)

// candidate is a part with the crashes that it may explain.
type candidate struct {
	part      uint64
	completed time.Time // last completed run; zero if none is known
	first     time.Time // its first crash since then
	last      time.Time // the last of the consecutive ones
	crashes   int       // that it may explain
	// consecutive counts crashes one after the other: by a run that was sent after the one
	// before. Endpoints that are lost together count once.
	consecutive int
	losses      int // runs with it that were lost
	with        []uint64
}

// bestCandidate returns the part with the best case of those that qualify. Parts without
// a completed run come first. A part that others always come with is in the same crashes
// as these, but in more runs: of those that explain about as many crashes as any, it is
// the one in the fewest runs.
func (e *evidence) bestCandidate(now time.Time, events []*crashEvent) *candidate {
	var list []*candidate
	for _, c := range e.candidates(events) {
		if c.qualifies(now, events) {
			list = append(list, c)
		}
	}
	if slices.ContainsFunc(list, (*candidate).isNew) {
		list = slices.DeleteFunc(list, func(c *candidate) bool { return !c.isNew() })
	}
	most := 0
	for _, c := range list {
		most = max(most, c.crashes)
	}
	list = slices.DeleteFunc(list, func(c *candidate) bool { return float64(c.crashes) < aboutAsMany*float64(most) })
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *candidate) int { return cmp.Or(cmp.Compare(a.losses, b.losses), cmp.Compare(a.part, b.part)) })
}

// isNew reports whether no run with the part is known to have completed.
func (c *candidate) isNew() bool { return c.completed.IsZero() }

// candidates returns the parts of the crashes that are not explained yet.
func (e *evidence) candidates(events []*crashEvent) map[uint64]*candidate {
	all := make(map[uint64]*candidate)
	for _, ev := range events {
		if ev.explained {
			continue
		}
		counted := make(map[uint64]bool)
		for _, l := range ev.losses {
			for _, p := range l.parts {
				known, _ := e.completed.Peek(p)
				if !ev.at.After(known.last) {
					continue
				}
				c := all[p]
				if c == nil {
					c = &candidate{part: p, completed: known.last, first: ev.at, last: ev.at, consecutive: 1, with: slices.DeleteFunc(slices.Clone(l.parts), func(q uint64) bool { return q == p || e.proven(q) })}
					all[p] = c
				}
				if !counted[p] {
					counted[p] = true
					c.crashes++
				}
				c.losses++
				if l.sentAt.After(c.last) {
					c.consecutive, c.last = c.consecutive+1, ev.at
				}
				c.with = slices.DeleteFunc(c.with, func(q uint64) bool { return !slices.Contains(l.parts, q) })
			}
		}
	}
	return all
}

// qualifies reports whether a candidate is suspected. Endpoints that are lost within a
// moment blame no part, whatever ran there.
func (c *candidate) qualifies(now time.Time, events []*crashEvent) bool {
	limit := newPartCrashes
	if !c.isNew() {
		limit = provenPartCrashes
		if now.Sub(c.first) < provenPartTime {
			return false
		}
	}
	since := 0
	for _, ev := range events {
		if !ev.explained && !ev.at.Before(c.first) {
			since++
		}
	}
	return c.consecutive >= limit && (c.consecutive >= manyCrashes || float64(c.crashes) >= partCoverage*float64(since))
}
