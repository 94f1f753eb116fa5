package forward

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Record says what became of a request and on what it was decided.
type Record struct {
	ID                  string
	Method              string
	Target              string
	Route               string
	Version             int64         // of the configuration
	Objective           time.Duration // latency objective of the route
	Arrived             time.Time
	Duration            time.Duration
	FirstByte           time.Duration // until the first byte of the answer; 0 if none
	Code                outcome.Code
	Status              int
	RetryAfter          time.Duration
	PromptKey           uint64           // of the prompt's shared parts; 0 without
	SharedTokens        int              // tokens of these parts
	Endpoints           []string         // that it was sent to, in order
	LastGrant           balance.Grant    // the last one
	Refusal             *balance.Refusal // why no endpoint was chosen; nil if one was
	FailedAttempts      []FailedAttempt
	Dials               int    // connections opened for it
	MismatchedResponses int    // answers to other requests on its connection
	HeadSent            bool   // a part of the answer went to the caller
	Events              int    // of a stream
	Resumed             int    // times that a stream went on at another endpoint
	Ejected             string // endpoint that was left out because of this request
	Error               string
}

// FailedAttempt is a send that brought no answer for the caller.
type FailedAttempt struct {
	Endpoint string          `json:"endpoint"`
	Failure  balance.Failure `json:"failure"`
	Run      outcome.Run     `json:"run"`
	Status   int             `json:"status,omitempty"` // of the endpoint's answer
	AfterMS  int64           `json:"after_ms"`         // from the request's arrival
	Error    string          `json:"error,omitempty"`
}
