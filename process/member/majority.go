package member

import (
	"slices"
	"time"
)

// KnownMembers returns the other routers that must be asked before a
// configuration counts as accepted, sorted by name: those in the list from the
// moment they are listed, those that left the list but were not yet dropped, and
// those in the view. The view alone does not suffice, since the view of a
// partition shrinks. It returns false while the list has never been read.
func (t *Table) KnownMembers() ([]Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.IsZero() {
		return nil, false
	}
	var known []Member
	for _, name := range t.names {
		if p := t.peers[name]; t.inKnownMembers(p) {
			known = append(known, p.Member)
		}
	}
	return known, true
}

// inKnownMembers reports whether p is one of KnownMembers.
func (t *Table) inKnownMembers(p *peer) bool {
	return p.listed || p.everListed && !p.dropped || t.view != nil && t.view.Index(p.Name) >= 0
}

// MajorityAge returns the smallest age within which this router has seen, directly or
// relayed, more than half of KnownMembers and itself; InfiniteAge if it never had. The
// age also grows while this router is paused.
func (t *Table) MajorityAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initTimes(now)
	if t.listedAt.IsZero() {
		return InfiniteAge
	}
	ages := make([]time.Duration, 1, len(t.names)+1) // itself at age 0
	known := 1
	for _, name := range t.names {
		p := t.peers[name]
		if !t.inKnownMembers(p) {
			continue
		}
		known++
		if !p.lastSeen.IsZero() {
			ages = append(ages, now.Sub(p.lastSeen))
		}
	}
	need := known/2 + 1
	if len(ages) < need {
		return InfiniteAge
	}
	slices.Sort(ages)
	return ages[need-1]
}
