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

// NewAttemptID returns a random ID from r.
func NewAttemptID(r *rand.Rand) AttemptID {
	return AttemptID{High: r.Uint64(), Low: r.Uint64()}
}

// attemptState is the state of an Attempt.
type attemptState int32

const (
	attemptOpen attemptState = iota
	attemptWon
	attemptDispatched
	attemptAbandoned
)

// Attempt is one attempt of an entry host to run a non-idempotent request. It
// can be dispatched at most once, only after its claim has won, and never after
// it was abandoned. It is safe for concurrent use.
type Attempt struct {
	ID         AttemptID
	dispatchBy time.Time
	state      atomic.Int32
}

// NewAttempt returns an Attempt that cannot be dispatched after dispatchBy.
func NewAttempt(id AttemptID, dispatchBy time.Time) *Attempt {
	return &Attempt{ID: id, dispatchBy: dispatchBy}
}

// ApplyClaimResult applies the result of the attempt's claim. It reports whether
// the attempt may be dispatched; if not, the attempt is abandoned.
func (a *Attempt) ApplyClaimResult(r Result) bool {
	if r.State == Won && a.transition(attemptOpen, attemptWon) {
		return true
	}
	a.Abandon()
	return false
}

// Dispatch reports whether the request may be sent to an endpoint at now. It
// returns true at most once. An attempt past its dispatch deadline is abandoned.
func (a *Attempt) Dispatch(now time.Time) bool {
	if now.After(a.dispatchBy) {
		a.Abandon()
		return false
	}
	return a.transition(attemptWon, attemptDispatched)
}

// Abandon prevents a later dispatch. It returns false if the attempt has already been dispatched.
func (a *Attempt) Abandon() bool {
	return a.transition(attemptOpen, attemptAbandoned) || a.transition(attemptWon, attemptAbandoned) ||
		a.current() == attemptAbandoned
}

// Dispatched reports whether the request may have been sent to an endpoint.
func (a *Attempt) Dispatched() bool {
	return a.current() == attemptDispatched
}

func (a *Attempt) current() attemptState {
	return attemptState(a.state.Load())
}

func (a *Attempt) transition(from, to attemptState) bool {
	return a.state.CompareAndSwap(int32(from), int32(to))
}

// Abandoned reports whether the attempt was abandoned.
func (a *Attempt) Abandoned() bool {
	return a.current() == attemptAbandoned
}
