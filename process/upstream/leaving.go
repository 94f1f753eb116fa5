package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	// leavingTTL is how long an endpoint that announced that it leaves is remembered,
	// also if its entry comes back: longer than any process serves on.
	leavingTTL = 10 * time.Minute
	// leavingReportTime is how long the announcement is sent to the other routers.
	leavingReportTime = 2 * time.Second
)

// Incarnation identifies one process of an endpoint.
type Incarnation struct {
	ID      string `json:"id"`
	Started int64  `json:"born"` // Unix ms
}

// leavingMark is an endpoint's announcement that it leaves.
type leavingMark struct {
	at  time.Time
	own bool // made to this router
}

// RecordLeaving records that the endpoint announced in a response that it leaves. It gets
// no new requests, whatever its entry says, and reports whether that is new.
func (t *Table) RecordLeaving(now time.Time, g *balance.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.markLeaving(now, Incarnation{g.ID, g.Started}, true)
}

// MergeLeaving records announcements that endpoints made to other routers, and reports whether
// one is new.
func (t *Table) MergeLeaving(now time.Time, list []Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, i := range list {
		changed = t.markLeaving(now, i, false) || changed
	}
	return changed
}

// Leaving returns the endpoints that announced to some router that they leave.
func (t *Table) Leaving(now time.Time) []Incarnation {
	return t.listLeaving(func(mark leavingMark) bool { return now.Sub(mark.at) < leavingTTL })
}

// listLeaving returns the endpoints that leave and whose mark is selected.
func (t *Table) listLeaving(selects func(leavingMark) bool) []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Incarnation
	for i, mark := range t.leaving {
		if selects(mark) {
			list = append(list, i)
		}
	}
	return list
}

func (t *Table) markLeaving(now time.Time, i Incarnation, own bool) bool {
	if _, known := t.leaving[i]; known {
		return false
	}
	for old, mark := range t.leaving {
		if now.Sub(mark.at) >= leavingTTL {
			delete(t.leaving, old)
		}
	}
	t.leaving[i] = leavingMark{at: now, own: own}
	return true
}

// NewlyLeaving returns the endpoints that announced to this router that they leave, for
// the other routers.
func (t *Table) NewlyLeaving(now time.Time) []Incarnation {
	return t.listLeaving(func(mark leavingMark) bool { return mark.own && now.Sub(mark.at) < leavingReportTime })
}

// isDraining reports whether the endpoint takes no new requests, by its entry or by its
// own announcement.
func (t *Table) isDraining(e *endpoint) bool {
	if e.Draining || len(t.leaving) == 0 {
		return e.Draining
	}
	_, announced := t.leaving[Incarnation{e.ID, e.Started}]
	return announced
}
