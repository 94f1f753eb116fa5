package queue

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// DefaultBound is the number of requests that may wait for one endpoint.
	DefaultBound = 256

	// idleLoss is the part of a kind's worth per deadline that counts as lost
	// per second while its worth does not fall yet.
	idleLoss = 0.05
	// minSeconds guards divisions by a deadline.
	minSeconds = 0.001
	// minHorizon and maxHorizon bound how far ahead losses are compared.
	minHorizon = time.Second
	maxHorizon = 30 * time.Second
	// agedAfter is the wait after which work that can wait gains a share.
	agedAfter = 30 * time.Second
	// agedShare is the part of all permits that aged work gets under shortage.
	agedShare = 0.05
	// defaultHold is the assumed time that a permit is held until one was given
	// back.
	defaultHold = 250 * time.Millisecond
	// maxHoldRise bounds the holds that are averaged, as a multiple of the
	// average: those of requests that were paused or lost say little of others.
	maxHoldRise = 4
	// holdWeight is the weight of the newest hold in the moving average.
	holdWeight = 0.1
)

// Queue holds the requests that wait for one endpoint.
type Queue struct {
	bound  int
	full   int    // permits that the endpoint bears, 0 if not known
	items  []Item // in order of arrival
	spaces spaces
	hold   time.Duration // moving average of the time a permit is held
	seen   bool          // hold is of permits that were given back
	credit float64       // permits that aged work may take, see agedShare
}

// New returns an empty Queue for at most bound requests.
func New(bound int) *Queue {
	return &Queue{bound: bound, spaces: newSpaces(), hold: defaultHold}
}

// SetCapacity tells how many permits the warm endpoint bears. A limit below it
// follows from the mean of the group.
func (q *Queue) SetCapacity(permits int) {
	q.full = permits
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Push adds item, for which limit permits exist in total. It returns what has
// to be refused because of it: the item itself if it can't be in time or is
// worth least, or another one.
func (q *Queue) Push(now time.Time, item Item, limit int) (Refused, bool) {
	item.queued = now
	item.prepare()
	item.space = q.spaces.enqueued(item.Workspace, item.share(), item.Kind.CanWait)
	q.items = append(q.items, item)
	if code, after := q.refusal(now, &item, limit); code != outcome.OK {
		q.take(len(q.items) - 1)
		return Refused{Item: item, Code: code, RetryAfter: after}, true
	}
	if len(q.items) <= q.bound {
		return Refused{}, false
	}
	worst := q.worst(now)
	evicted := q.take(worst)
	return Refused{Item: evicted, Code: q.shedCode(&evicted), RetryAfter: q.drain(limit)}, true
}

// Urgent returns the number of waiting requests that cannot wait: those that
// a new one may have to wait for.
func (q *Queue) Urgent() int {
	return q.spaces.urgent
}

// refusal returns why item can't wait here, or OK.
func (q *Queue) refusal(now time.Time, item *Item, limit int) (outcome.Code, time.Duration) {
	if item.late(now) {
		return outcome.DeadlineTooShort, 0
	}
	ahead := q.ahead(now, item) + q.spaces.missing(item, q.spaces.running, limit, q.full)
	if limit <= 0 || ahead == 0 {
		return outcome.OK, 0
	}
	start := now.Add(q.slots(ahead, limit))
	if item.late(start) {
		return outcome.DeadlineTooShort, q.drain(limit)
	}
	if !item.WaitUntil.IsZero() && start.After(item.WaitUntil) {
		return outcome.EndpointAtCap, q.drain(limit)
	}
	return outcome.OK, 0
}

// ahead returns how many waiting requests would go before item, the newest.
func (q *Queue) ahead(now time.Time, item *Item) int {
	m := momentAt(now, q.horizon(1))
	q.spaces.pass++
	own := q.score(&m, item)
	n := 0
	for i := range len(q.items) - 1 {
		if q.score(&m, &q.items[i]) >= own {
			n++
		}
	}
	return n
}

// slots returns the expected time until n permits are given back. A limit of 0
// passes, as while the owner changes; half of what the endpoint bears is
// expected then.
func (q *Queue) slots(n, limit int) time.Duration {
	if limit <= 0 {
		limit = q.full / 2
	}
	return q.hold * time.Duration(n) / time.Duration(max(limit, 1))
}

// drain returns the expected time until the waiting requests are gone.
func (q *Queue) drain(limit int) time.Duration {
	return q.slots(len(q.items)+1, limit)
}

func (q *Queue) horizon(limit int) time.Duration {
	return min(max(q.slots(len(q.items), limit), minHorizon), maxHorizon)
}

// Pop returns the request that gets the next permit. running is the number of
// permits held and limit the number allowed. It returns false if nobody waits
// or the free permits are kept for workspaces within their share.
func (q *Queue) Pop(now time.Time, running, limit int) (Item, bool) {
	if running >= limit || len(q.items) == 0 {
		return Item{}, false
	}
	best := q.best(now, running, limit)
	if best < 0 {
		return Item{}, false
	}
	item := q.take(best)
	q.spaces.started(item.Workspace)
	q.count(now, &item)
	return item, true
}

// count keeps the account of the share of aged work.
func (q *Queue) count(now time.Time, item *Item) {
	if item.Kind.CanWait {
		q.credit = max(q.credit-1, 0)
		return
	}
	q.credit = min(q.credit+agedShare, 1)
}

// Done tells that a permit of workspace was given back after hold.
func (q *Queue) Done(workspace string, hold time.Duration) {
	q.spaces.done(workspace)
	if hold <= 0 {
		return // the permit was never used
	}
	if !q.seen {
		q.seen = true
		q.hold = hold
		return
	}
	hold = min(hold, maxHoldRise*q.hold)
	q.hold += time.Duration(holdWeight * float64(hold-q.hold))
}

// Expire removes the requests that can no longer be in time or whose entry no
// longer wants to wait here.
func (q *Queue) Expire(now time.Time, limit int) []Refused {
	var refused []Refused
	for i := 0; i < len(q.items); {
		code := q.items[i].expired(now)
		if code == outcome.OK {
			i++
			continue
		}
		refused = append(refused, Refused{Item: q.take(i), Code: code, RetryAfter: q.drain(limit)})
	}
	return refused
}

func (i *Item) expired(now time.Time) outcome.Code {
	switch {
	case i.late(now):
		return outcome.DeadlineTooShort
	case !i.WaitUntil.IsZero() && !now.Before(i.WaitUntil):
		return outcome.EndpointAtCap
	default:
		return outcome.OK
	}
}

// Remove takes the request id out, for example because its caller is gone.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.take(i)
			return true
		}
	}
	return false
}

// take removes item i and keeps the order of the others.
func (q *Queue) take(i int) Item {
	item := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	q.spaces.left(item.Workspace, item.Kind.CanWait)
	return item
}
