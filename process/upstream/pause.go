package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

// maxPause bounds how long an endpoint's Retry-After is believed. It is longer than an
// endpoint needs to recover, so that a wrong value does not shut it out for good.
const maxPause = 10 * time.Minute

// RecordRetryAfter records that the endpoint refused a request and wants none from this
// router for a time.
func (t *Table) RecordRetryAfter(now time.Time, g *balance.Grant, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, until := range t.paused {
		if !now.Before(until) {
			delete(t.paused, i)
		}
	}
	i := Incarnation{g.ID, g.Started}
	if until := now.Add(min(after, maxPause)); until.After(t.paused[i]) {
		t.paused[i] = until
	}
}

// RestrictedCounts counts the processes of endpoints that take fewer requests than usual.
type RestrictedCounts struct {
	Leaving int // announced that they leave
	Paused  int // want no requests from this router for a time
	Limited int // name a number of requests a second
	Brittle int // crash when they reject too many requests
}

// CountRestricted counts the endpoints that take fewer requests than usual.
func (t *Table) CountRestricted(now time.Time) (n RestrictedCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, mark := range t.leaving {
		if now.Sub(mark.at) < leavingTTL {
			n.Leaving++
		}
	}
	for _, until := range t.paused {
		if now.Before(until) {
			n.Paused++
		}
	}
	for _, ep := range t.byID {
		if ep.restrictions.Limited {
			n.Limited++
		}
		if ep.restrictions.Brittle {
			n.Brittle++
		}
	}
	return n
}

// pausedFor returns how long the endpoint wants no requests from this router.
func (t *Table) pausedFor(now time.Time, e *endpoint) time.Duration {
	if len(t.paused) == 0 {
		return 0
	}
	return max(0, t.paused[Incarnation{e.ID, e.Started}].Sub(now))
}
