package ledger

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// State is what the ledger says to a claim. Values are stable: they are sent
// between routers.
type State int

// The states.
const (
	// Unsettled: nothing is known of the claim yet.
	Unsettled State = iota
	// Won: the attempt may be dispatched.
	Won
	// InProgress: another attempt with the same key holds the claim.
	InProgress
	// Done: an earlier attempt ran; its answer may be held.
	Done
	// Lost: an earlier attempt may have run; its outcome is not known.
	Lost
	// TooOld: the key is older than the window.
	KeyTooOld
	// Reused: the key was used with another request.
	KeyReused
	// LogDown: the claim could not be recorded in time.
	LogUnavailable
	// GivenUp: the attempt itself, or too many before it, were given up.
	Abandoned
	// Ahead: the key's time lies in the future.
	KeyInFuture
)

var stateNames = [...]string{
	"unsettled", "won", "in_progress", "done", "lost", "too_old", "reused", "log_down", "given_up", "ahead",
}

// String returns the name of s.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unlisted"
	}
	return stateNames[s]
}

// StoredResponse is a stored answer to a request.
type StoredResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxResponseBytes bounds the body of an answer that is stored.
const MaxResponseBytes = 2 << 10

// Result is the ledger's word on a claim.
type Result struct {
	State      State
	Response   *StoredResponse // Done: the answer, if it is held
	RetryAfter time.Duration   // InProgress: when a repeat is worthwhile
	// NeverRun says, for LogDown and GivenUp, that no other attempt with the
	// key can have run.
	NeverRun bool
}

// Refusal returns what the caller is told if the attempt may not be
// dispatched and no answer is held. It is nil for Won and for Done with an
// answer.
func (r Result) Refusal() *outcome.Refusal {
	switch r.State {
	case Won:
		return nil
	case InProgress:
		refusal := outcome.Unknown(outcome.KeyInProgress, "")
		refusal.RetryAfter = r.RetryAfter
		return refusal
	case Done:
		if r.Response != nil {
			return nil
		}
		return outcome.Ran(outcome.AnswerNotHeld, "")
	case Lost:
		return outcome.Unknown(outcome.ResultLost, "")
	case KeyTooOld:
		return outcome.Unknown(outcome.KeyTooOld, "")
	case KeyReused:
		return outcome.Unknown(outcome.KeyReused, "")
	case KeyInFuture:
		return outcome.NotRun(outcome.BadIdempotencyKey, "the key's time lies in the future")
	case Abandoned:
		return r.neverTried(outcome.ClaimFailed)
	default:
		return r.neverTried(outcome.LogUnavailable)
	}
}

func (r Result) neverTried(code outcome.Code) *outcome.Refusal {
	if r.NeverRun {
		return outcome.NotRun(code, "")
	}
	return outcome.Unknown(code, "an earlier request with this key may have run")
}
