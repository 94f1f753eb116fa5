package queue

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// Item is a request that waits for a permit.
type Item struct {
	ID        uint64
	Workspace string
	Share     float64 // weight of the workspace; 0 counts as 1
	Kind      *config.Kind
	Sent      time.Time     // when the caller sent it
	Deadline  time.Time     // when its answer is worth nothing
	WaitUntil time.Time     // until when the entry wants to wait here
	ServeTime time.Duration // least time from dispatch to a complete answer
	Exclusive bool          // the request must run alone

	queued time.Time
	space  *space
	sent   int64         // Sent as Unix time in nanoseconds
	span   time.Duration // from Sent to Deadline
	base   float64       // loss per second while the worth does not fall yet
}

// Refused is an Item that leaves the queue without a permit.
type Refused struct {
	Item Item
	Code outcome.Code
	// RetryAfter is when a new try makes sense; 0 if never.
	RetryAfter time.Duration
}

// late reports whether the answer would come after the deadline if the request
// were dispatched at now.
func (i *Item) late(now time.Time) bool {
	return now.Add(i.ServeTime).After(i.Deadline)
}

// prepare works out what scores are made of.
func (i *Item) prepare() {
	i.sent = i.Sent.UnixNano()
	i.span = i.Deadline.Sub(i.Sent)
	i.base = idleLoss * i.Kind.Worth / max(i.Kind.Deadline.Std().Seconds(), minSeconds)
}

// moment is a time at which scores are compared, and how far ahead.
type moment struct {
	now       int64 // Unix time in nanoseconds
	horizon   time.Duration
	perSecond float64 // 1 over the horizon in seconds
}

func momentAt(now time.Time, horizon time.Duration) moment {
	return moment{now: now.UnixNano(), horizon: horizon, perSecond: 1 / horizon.Seconds()}
}

// lossRate returns the worth lost per second if i is dispatched a horizon
// later, plus a small part that keeps equal ones ordered by worth.
func (i *Item) lossRate(m *moment) float64 {
	age := time.Duration(m.now-i.sent) + i.ServeTime
	if age+m.horizon <= i.Kind.FullUntil.Std() && age+m.horizon < i.span {
		return i.base
	}
	return (i.worthAt(age)-i.worthAt(age+m.horizon))*m.perSecond + i.base
}

// worthAt is Kind.WorthAt bounded by the request's own deadline.
func (i *Item) worthAt(age time.Duration) float64 {
	if age >= i.span {
		return 0
	}
	return i.Kind.WorthAt(age)
}

func (i *Item) share() float64 {
	if i.Share <= 0 {
		return 1
	}
	return i.Share
}
