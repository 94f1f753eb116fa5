package queue

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// DefaultBound is the number of requests that may wait for one endpoint.
	DefaultBound = 256

	// baseLossRate is the loss per second that is always added, also before the worth
	// starts to fall, as a fraction of worth divided by deadline.
	baseLossRate = 0.05
	// minSeconds is the shortest deadline in seconds that is divided by.
	minSeconds = 0.001
	// minHorizon and maxHorizon bound the horizon over which losses are compared.
	minHorizon = time.Second
	maxHorizon = 30 * time.Second
	// agedAfter is the wait from which deferrable work gains a share.
	agedAfter = 30 * time.Second
	// agedPermitShare is the fraction of all permits that aged work gets under shortage.
	agedPermitShare = 0.05
	// defaultHold is the assumed hold time of a permit before the first release.
	defaultHold = 250 * time.Millisecond
	// maxHoldFactor bounds the hold times that are averaged, as a multiple of the
	// average: hold times of paused or lost requests are no estimate for others.
	maxHoldFactor = 4
	// holdWeight is the weight of the newest hold time in the moving average.
	holdWeight = 0.1
)

// Queue holds the requests that wait for one endpoint.
type Queue struct {
	bound        int    // largest number of waiting requests
	capacity     int    // permits of the warm endpoint, 0 if unknown
	items        []Item // in order of arrival
	accounts     accounts
	hold         time.Duration // moving average of the time a permit is held
	holdMeasured bool          // hold was measured; it is defaultHold until then
	agedCredit   float64       // permits that aged work may take, see agedPermitShare
}

// New returns an empty Queue for at most bound requests.
func New(bound int) *Queue {
	return &Queue{bound: bound, accounts: newAccounts(), hold: defaultHold}
}

// SetCapacity sets the number of permits that the warm endpoint serves at once. A
// limit below it follows from the mean load of the endpoint's group.
func (q *Queue) SetCapacity(permits int) {
	q.capacity = permits
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Push adds item; limit is the number of permits allowed at the endpoint. It returns
// the request that has to be refused because of it: the item itself if it cannot be in
// time, would have to wait beyond WaitUntil or has the least worth, or another one.
func (q *Queue) Push(now time.Time, item Item, limit int) (Refused, bool) {
	item.queued = now
	item.prepare()
	item.account = q.accounts.enqueued(item.Workspace, item.share(), item.Kind.CanWait)
	q.items = append(q.items, item)
	if code, after := q.refusal(now, &item, limit); code != outcome.OK {
		q.removeAt(len(q.items) - 1)
		return Refused{Item: item, Code: code, RetryAfter: after}, true
	}
	if len(q.items) <= q.bound {
		return Refused{}, false
	}
	worst := q.worst(now)
	evicted := q.removeAt(worst)
	return Refused{Item: evicted, Code: q.shedCode(&evicted), RetryAfter: q.timeToDrain(limit)}, true
}

// Urgent returns the number of waiting requests that are not deferrable: those
// that a new one may have to wait for.
func (q *Queue) Urgent() int {
	return q.accounts.urgent
}

// refusal returns why item cannot wait here, or OK.
func (q *Queue) refusal(now time.Time, item *Item, limit int) (outcome.Code, time.Duration) {
	if item.missesDeadline(now) {
		return outcome.DeadlineTooShort, 0
	}
	ahead := q.ahead(now, item) + q.accounts.permitsShort(item, q.accounts.running, limit, q.capacity)
	if limit <= 0 || ahead == 0 {
		return outcome.OK, 0
	}
	start := now.Add(q.timeToFree(ahead, limit))
	if item.missesDeadline(start) {
		return outcome.DeadlineTooShort, q.timeToDrain(limit)
	}
	if !item.WaitUntil.IsZero() && start.After(item.WaitUntil) {
		return outcome.EndpointAtCap, q.timeToDrain(limit)
	}
	return outcome.OK, 0
}

// ahead returns how many waiting requests would be served before item, the newest.
func (q *Queue) ahead(now time.Time, item *Item) int {
	t := newScoringTime(now, q.horizon(1))
	q.accounts.pass++
	own := q.score(&t, item)
	n := 0
	for i := range len(q.items) - 1 {
		if q.score(&t, &q.items[i]) >= own {
			n++
		}
	}
	return n
}

// timeToFree returns the expected time until n permits are released. A limit of 0
// is transient, as during a handover to another owner; it then assumes half of the
// endpoint's capacity.
func (q *Queue) timeToFree(n, limit int) time.Duration {
	if limit <= 0 {
		limit = q.capacity / 2
	}
	return q.hold * time.Duration(n) / time.Duration(max(limit, 1))
}

// timeToDrain returns the expected time until the waiting requests have left.
func (q *Queue) timeToDrain(limit int) time.Duration {
	return q.timeToFree(len(q.items)+1, limit)
}

func (q *Queue) horizon(limit int) time.Duration {
	return min(max(q.timeToFree(len(q.items), limit), minHorizon), maxHorizon)
}

// Pop returns the request that gets the next permit. running is the number of
// permits held and limit the number allowed. It returns false if no permit is free,
// no request waits, or the free permits are reserved for workspaces within their share.
func (q *Queue) Pop(now time.Time, running, limit int) (Item, bool) {
	if running >= limit || len(q.items) == 0 {
		return Item{}, false
	}
	best := q.best(now, running, limit)
	if best < 0 {
		return Item{}, false
	}
	item := q.removeAt(best)
	q.accounts.started(item.Workspace)
	q.updateAgedCredit(now, &item)
	return item, true
}

// updateAgedCredit updates the credit of aged work after item got a permit.
func (q *Queue) updateAgedCredit(now time.Time, item *Item) {
	if item.Kind.CanWait {
		q.agedCredit = max(q.agedCredit-1, 0)
		return
	}
	q.agedCredit = min(q.agedCredit+agedPermitShare, 1)
}

// Done records that a permit of workspace was released after hold.
func (q *Queue) Done(workspace string, hold time.Duration) {
	q.accounts.released(workspace)
	if hold <= 0 {
		return // the permit was not used
	}
	if !q.holdMeasured {
		q.holdMeasured = true
		q.hold = hold
		return
	}
	hold = min(hold, maxHoldFactor*q.hold)
	q.hold += time.Duration(holdWeight * float64(hold-q.hold))
}

// Expire removes the requests that can no longer be in time or that their entry
// host lets wait no longer.
func (q *Queue) Expire(now time.Time, limit int) []Refused {
	var refused []Refused
	for i := 0; i < len(q.items); {
		code := q.items[i].expiryCode(now)
		if code == outcome.OK {
			i++
			continue
		}
		refused = append(refused, Refused{Item: q.removeAt(i), Code: code, RetryAfter: q.timeToDrain(limit)})
	}
	return refused
}

func (i *Item) expiryCode(now time.Time) outcome.Code {
	switch {
	case i.missesDeadline(now):
		return outcome.DeadlineTooShort
	case !i.WaitUntil.IsZero() && !now.Before(i.WaitUntil):
		return outcome.EndpointAtCap
	default:
		return outcome.OK
	}
}

// Remove removes the request id, for example because its caller has disconnected.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// removeAt removes item i and keeps the order of the others.
func (q *Queue) removeAt(i int) Item {
	item := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	q.accounts.dequeued(item.Workspace, item.Kind.CanWait)
	return item
}
