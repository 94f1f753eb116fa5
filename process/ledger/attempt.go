package ledger

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// AttemptID identifies one attempt to run a request.
type AttemptID struct {
	High uint64 `json:"h"`
	Low  uint64 `json:"l"`
}

// NewAttemptID returns an id from r.
func NewAttemptID(r *rand.Rand) AttemptID {
	return AttemptID{High: r.Uint64(), Low: r.Uint64()}
}

// attemptState is where an Attempt is in its life.
type attemptState int32

const (
	attemptOpen attemptState = iota
	attemptWon
	attemptDispatched
	attemptGivenUp
)

// Attempt is one attempt of an entry host to run a non-idempotent request. It
// can be dispatched once at most, only after its claim has won, and never after
// it was given up. It is safe for concurrent use.
type Attempt struct {
	ID         AttemptID
	dispatchBy time.Time
	state      atomic.Int32
}

// NewAttempt returns an attempt that cannot be dispatched after dispatchBy.
func NewAttempt(id AttemptID, dispatchBy time.Time) *Attempt {
	return &Attempt{ID: id, dispatchBy: dispatchBy}
}

// ApplyClaimResult takes the result of the attempt's claim. It reports whether the
// attempt may go on to be dispatched; if not, it is given up.
func (a *Attempt) ApplyClaimResult(r Result) bool {
	if r.State == Won && a.move(attemptOpen, attemptWon) {
		return true
	}
	a.Abandon()
	return false
}

// Dispatch reports whether the request may be sent to an endpoint at now. It
// does so at most once. An attempt that is too late is given up.
func (a *Attempt) Dispatch(now time.Time) bool {
	if now.After(a.dispatchBy) {
		a.Abandon()
		return false
	}
	return a.move(attemptWon, attemptDispatched)
}

// Abandon reports whether the attempt has not been dispatched; it then never
// will be.
func (a *Attempt) Abandon() bool {
	return a.move(attemptOpen, attemptGivenUp) || a.move(attemptWon, attemptGivenUp) ||
		a.current() == attemptGivenUp
}

// Dispatched reports whether the request may have been sent to an endpoint.
func (a *Attempt) Dispatched() bool {
	return a.current() == attemptDispatched
}

func (a *Attempt) current() attemptState {
	return attemptState(a.state.Load())
}

func (a *Attempt) move(from, to attemptState) bool {
	return a.state.CompareAndSwap(int32(from), int32(to))
}

// Abandoned reports whether the attempt was given up.
func (a *Attempt) Abandoned() bool {
	return a.current() == attemptGivenUp
}
