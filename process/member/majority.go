package member

import (
	"slices"
	"time"
)

// KnownMembers returns the other routers that must be asked before a
// configuration counts as accepted, sorted by name: those in the list from the
// moment they are listed, those that left the list without being dead for long,
// and those in the view. A view alone would not do, since the view of an island
// shrinks. It returns false while the list has never been read.
func (t *Table) KnownMembers() ([]Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.IsZero() {
		return nil, false
	}
	var known []Member
	for _, name := range t.names {
		if p := t.peers[name]; t.vouches(p) {
			known = append(known, p.Member)
		}
	}
	return known, true
}

// vouches reports whether p is one of KnownMembers.
func (t *Table) vouches(p *peer) bool {
	return p.listed || p.wasListed && !p.dropped || t.view != nil && t.view.Index(p.Name) >= 0
}

// MajorityAge returns how long ago this router had news of more than half of
// KnownMembers and itself; Never if it has not. The news may have come through
// others. A paused router sees by the clock that it is late.
func (t *Table) MajorityAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(now)
	if t.listedAt.IsZero() {
		return InfiniteAge
	}
	ages := make([]time.Duration, 1, len(t.names)+1) // itself at age 0
	known := 1
	for _, name := range t.names {
		p := t.peers[name]
		if !t.vouches(p) {
			continue
		}
		known++
		if !p.heard.IsZero() {
			ages = append(ages, now.Sub(p.heard))
		}
	}
	need := known/2 + 1
	if len(ages) < need {
		return InfiniteAge
	}
	slices.Sort(ages)
	return ages[need-1]
}

// SoleOwner reports whether every known router has taken this one for the owner
// of duty on key ever since a time, as far as can be told: all have been heard
// without a break, as the same processes and in this router's view.
func (t *Table) SoleOwner(now time.Time, duty Duty, key string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil || t.listedAt.IsZero() || !t.since.Add(t.cfg.promise(t.view)).Before(since) {
		return false
	}
	if !owns(t.view, t.self, duty, key) {
		return false
	}
	for _, name := range t.names {
		p := t.peers[name]
		if t.vouches(p) && !t.boundSince(p, now, since) {
			return false
		}
	}
	return true
}

// boundSince reports whether p has been on this router's view alone since a
// time.
func (t *Table) boundSince(p *peer, now, since time.Time) bool {
	alone := p.stance == Binding{View: t.view.ID}
	return alone && p.stanceSince.Before(since) && p.steadySince.Before(since) && t.alive(p, now)
}
