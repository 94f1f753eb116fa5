package upstream

import "time"

// endedTTL is how long an endpoint is remembered that drains or whose entry was removed.
const endedTTL = 10 * time.Minute

// ended is the last entry of an endpoint that drains or was removed.
type ended struct {
	sequence int64
	removed  bool
	certain  bool // removed while the registry was reachable, as this router read
	at       time.Time
}

// Removal is the last entry of an endpoint that the registry removed.
type Removal struct {
	Incarnation
	Sequence int64 `json:"seq"`
}

// NewRemovals returns the entries that were recently removed while the registry was
// reachable, for routers that found them missing after a gap.
func (t *Table) NewRemovals(now time.Time) []Removal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Removal
	for i, mark := range t.ended {
		if mark.certain && now.Sub(mark.at) < leavingReportTime {
			list = append(list, Removal{Incarnation: i, Sequence: mark.sequence})
		}
	}
	return list
}

// MergeRemovals records the removals that another router read. Endpoints that are kept
// since a gap, and whose entry was not written again since, are removed.
func (t *Table) MergeRemovals(now time.Time, list []Removal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if mark, known := t.ended[r.Incarnation]; known && mark.removed && mark.sequence >= r.Sequence {
			continue
		}
		t.ended[r.Incarnation] = ended{sequence: r.Sequence, removed: true, at: now}
		if ep := t.byID[r.ID]; ep != nil && !ep.removeAt.IsZero() && t.wasRemoved(&ep.Entry) {
			ep.removeAt = now
		}
	}
	t.sweep(now)
}

// wasRemoved reports whether the registry is known to have removed an entry, or a newer one of the
// same process.
func (t *Table) wasRemoved(e *Entry) bool {
	mark, known := t.ended[Incarnation{e.ID, e.Started}]
	return known && mark.removed && e.Sequence <= mark.sequence
}

// markEnded remembers the last entry of an endpoint.
func (t *Table) markEnded(now time.Time, e *Entry, mark ended) {
	for i, mark := range t.ended {
		if now.Sub(mark.at) >= endedTTL {
			delete(t.ended, i)
		}
	}
	i := Incarnation{e.ID, e.Started}
	mark.sequence, mark.at = max(e.Sequence, t.ended[i].sequence), now
	t.ended[i] = mark
}

// ApplyRewound applies the first records of a registry that came back from an older copy.
// Entries that are not newer than the last one of an endpoint that drains or was removed
// change nothing. Endpoints that the copy lacks are kept for RemovalGrace. What the copy holds may
// be older than what is known, so that it supersedes nothing.
func (t *Table) ApplyRewound(now time.Time, changes []Change) []Event {
	t.mu.Lock()
	current := make([]Change, 0, len(changes))
	for _, c := range changes {
		if c.Entry == nil || !t.isOutdated(c.Entry) {
			current = append(current, c)
		}
	}
	t.mu.Unlock()
	return t.apply(now, current, true, false)
}

// isOutdated reports whether an entry is of before the endpoint drained or was removed.
func (t *Table) isOutdated(e *Entry) bool {
	mark, known := t.ended[Incarnation{e.ID, e.Started}]
	return known && e.Sequence <= mark.sequence && (mark.removed || !e.Draining)
}
