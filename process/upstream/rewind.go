package upstream

import "time"

// endedTTL is how long an endpoint is remembered that drains or whose entry was removed.
const endedTTL = 10 * time.Minute

// ended is the last entry of an endpoint that drains or was removed.
type ended struct {
	sequence int64
	removed  bool
	at       time.Time
}

// markEnded remembers the last entry of an endpoint.
func (t *Table) markEnded(now time.Time, e *Entry, removed bool) {
	for i, mark := range t.ended {
		if now.Sub(mark.at) >= endedTTL {
			delete(t.ended, i)
		}
	}
	t.ended[Incarnation{e.ID, e.Started}] = ended{sequence: e.Sequence, removed: removed, at: now}
}

// ApplyRewound applies the first records of a registry that came back from an older copy.
// Entries that are not newer than the last one of an endpoint that drains or was removed
// change nothing. Endpoints that the copy lacks are kept for RemovalGrace.
func (t *Table) ApplyRewound(now time.Time, changes []Change) []Event {
	t.mu.Lock()
	current := make([]Change, 0, len(changes))
	for _, c := range changes {
		if c.Entry == nil || !t.isOutdated(c.Entry) {
			current = append(current, c)
		}
	}
	t.mu.Unlock()
	return t.Apply(now, current, true)
}

// isOutdated reports whether an entry is of before the endpoint drained or was removed.
func (t *Table) isOutdated(e *Entry) bool {
	mark, known := t.ended[Incarnation{e.ID, e.Started}]
	return known && e.Sequence <= mark.sequence && (mark.removed || !e.Draining)
}
