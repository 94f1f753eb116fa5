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
	GiveUp    time.Time     // until when the entry wants to wait here
	Serve     time.Duration // least time from dispatch to a complete answer
	Alone     bool          // the request must run alone

	queued time.Time
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
	return now.Add(i.Serve).After(i.Deadline)
}

// lossRate returns the worth lost per second if i is dispatched horizon later
// than now, plus a small part that keeps equal ones ordered by worth.
func (i *Item) lossRate(now time.Time, horizon time.Duration) float64 {
	age := now.Sub(i.Sent) + i.Serve
	atDeadline := i.Deadline.Sub(i.Sent)
	soon := i.worthAt(age, atDeadline)
	later := i.worthAt(age+horizon, atDeadline)
	base := i.Kind.Worth / max(i.Kind.Deadline.Std().Seconds(), minSeconds)
	return (soon-later)/horizon.Seconds() + idleLoss*base
}

// worthAt is Kind.WorthAt bounded by the request's own deadline.
func (i *Item) worthAt(age, deadline time.Duration) float64 {
	if age >= deadline {
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
