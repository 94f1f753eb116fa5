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
	Deadline  time.Time     // when its response has no worth any more
	WaitUntil time.Time     // until when the entry host lets it wait here
	ServeTime time.Duration // minimum time from dispatch to a complete response
	Alone     bool          // the request must run alone

	queued    time.Time
	account   *account
	sentNanos int64         // Sent as Unix time in nanoseconds
	span      time.Duration // from Sent to Deadline
	baseLoss  float64       // loss per second that is always added
}

// Refused is an Item that leaves the queue without a permit.
type Refused struct {
	Item Item
	Code outcome.Code
	// RetryAfter is the retry time; 0 means that a retry is useless.
	RetryAfter time.Duration
}

// missesDeadline reports whether the response would arrive after the deadline if
// the request were dispatched at now.
func (i *Item) missesDeadline(now time.Time) bool {
	return now.Add(i.ServeTime).After(i.Deadline)
}

// prepare precomputes the inputs of scores.
func (i *Item) prepare() {
	i.sentNanos = i.Sent.UnixNano()
	i.span = i.Deadline.Sub(i.Sent)
	i.baseLoss = baseLossRate * i.Kind.Worth / max(i.Kind.Deadline.Std().Seconds(), minSeconds)
}

// scoringTime is a time at which scores are compared, with the horizon over which
// losses count.
type scoringTime struct {
	now       int64 // Unix time in nanoseconds
	horizon   time.Duration
	perSecond float64 // 1 over the horizon in seconds
}

func newScoringTime(now time.Time, horizon time.Duration) scoringTime {
	return scoringTime{now: now.UnixNano(), horizon: horizon, perSecond: 1 / horizon.Seconds()}
}

// lossRate returns the worth lost per second if i is dispatched one horizon later,
// plus a small part that keeps items with equal loss ordered by worth.
func (i *Item) lossRate(t *scoringTime) float64 {
	age := time.Duration(t.now-i.sentNanos) + i.ServeTime
	if age+t.horizon <= i.Kind.FullUntil.Std() && age+t.horizon < i.span {
		return i.baseLoss
	}
	return (i.worthAt(age)-i.worthAt(age+t.horizon))*t.perSecond + i.baseLoss
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
