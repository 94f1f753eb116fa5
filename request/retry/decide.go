package retry

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// MaxAttempts is the largest number of attempts of one request, hedges included.
	// A request that crashes endpoints crashes at most this many.
	MaxAttempts = 3
	// hedgeAfter is the fraction of Kind.FirstByte after which an attempt without a
	// first byte is hedged.
	hedgeAfter = 0.5
	// minHedge is the minimum age at which an attempt is hedged.
	minHedge = 100 * time.Millisecond
)

// Attempts is the state of a request over all its attempts so far.
type Attempts struct {
	Kind       *config.Kind
	Run        outcome.Run   // over all attempts so far
	Dispatched int           // attempts that were dispatched
	Streamed   bool          // the caller has received a part of the response
	Remaining  time.Duration // time left until the deadline
	ServeTime  time.Duration // minimum time that another attempt needs
	Blocked    outcome.Code  // RequestConvicted if blocked for crashing endpoints, otherwise OK
}

// CheckRetry returns OK if the request may be sent to an endpoint once more after
// a failed attempt, otherwise why not. A non-idempotent request is retried only if
// no endpoint can have executed it.
func (a *Attempts) CheckRetry() outcome.Code {
	switch {
	case a.Blocked != outcome.OK:
		return a.Blocked
	case a.Kind.NonIdempotent && a.Run != outcome.RunNot:
		return outcome.ResultLost
	case a.Streamed:
		return outcome.AnswerTruncated
	case a.Remaining < a.ServeTime:
		return outcome.DeadlineTooShort
	case a.Dispatched >= MaxAttempts:
		return outcome.EndpointFailed
	default:
		return outcome.OK
	}
}

// HedgeDelay returns the time without a first byte after which a second attempt
// may be sent beside the first. It returns false if the request must not be
// hedged: it is non-idempotent, can wait, has streamed, or has no attempt or time left.
func (a *Attempts) HedgeDelay() (time.Duration, bool) {
	if a.Kind.NonIdempotent || a.Kind.CanWait || a.Streamed || a.Dispatched >= MaxAttempts {
		return 0, false
	}
	after := time.Duration(hedgeAfter * float64(a.Kind.FirstByte.Std()))
	after = max(after, minHedge)
	if a.Remaining-after < a.ServeTime {
		return 0, false
	}
	return after, true
}
