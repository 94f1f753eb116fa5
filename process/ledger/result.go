package ledger

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// State is the state of a claim. Values are stable: they are sent between routers.
type State int

// The states.
const (
	// Unsettled: the claim has not been decided.
	Unsettled State = iota
	// Won: the attempt may be dispatched.
	Won
	// InProgress: another attempt with the same key holds the claim.
	InProgress
	// Done: an earlier attempt ran; its response may be stored.
	Done
	// Lost: an earlier attempt may have run; its outcome is unknown.
	Lost
	// KeyTooOld: the key is older than the window, or earlier claims may be unknown.
	KeyTooOld
	// KeyReused: the key was used for a different request.
	KeyReused
	// LogUnavailable: the claim could not be recorded.
	LogUnavailable
	// Abandoned: the attempt itself was abandoned, or too many attempts with its key were.
	Abandoned
	// KeyInFuture: the key's time of creation is too far in the future.
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

// StoredResponse is the response to a request as stored in the ledger.
type StoredResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxResponseBytes bounds the body of a response that is stored.
const MaxResponseBytes = 2 << 10

// Result is the decision on a claim.
type Result struct {
	State      State
	Response   *StoredResponse // Done: the response, if it is stored
	RetryAfter time.Duration   // InProgress: suggested time until a retry
	// NeverRun says, for Abandoned, that no attempt with the key has run.
	NeverRun bool
}

// Refusal returns the refusal for the caller if the attempt may not be
// dispatched and no response is stored. It is nil for Won and for Done with a
// response.
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
		return r.refusal(outcome.ClaimFailed)
	default:
		return r.refusal(outcome.LogUnavailable)
	}
}

func (r Result) refusal(code outcome.Code) *outcome.Refusal {
	if r.NeverRun {
		return outcome.NotRun(code, "")
	}
	return outcome.Unknown(code, "an earlier request with this key may have run")
}
