package forward

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/http1"
)

// PromptPart is one part of a prompt. Requests with the same first parts share the
// cache entries of these.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what a caller's headers say.
type Request struct {
	ID          string
	Timeout     time.Duration // how long the caller waits, from its arrival; 0 if not said
	Key         string        // API key
	Parts       []PromptPart  // of the prompt, in order; the last belongs to the request or its session
	TokensIn    int           // prompt tokens
	TokensOut   int           // most output tokens
	LengthHint  int           // the caller's estimate of the output tokens; 0 if not said
	LastEventID int64         // the caller has all events up to this one; -1 without
}

// AttemptOptions is what the router adds to a request that goes to an endpoint.
type AttemptOptions struct {
	Timeout     time.Duration // left of the caller's time
	Endpoint    string        // id of the endpoint that may run it
	Workspace   string        // name of the key's holder; "" on public routes
	LastEventID int64         // replaces the caller's where a stream goes on; -1 keeps it
	FetchFrom   string        // address of an endpoint that caches more of the prompt; "" if none
	Priority    int           // 0 is admitted first; -1 says nothing
}

// Load is the load that an endpoint tells with an answer.
type Load struct{ Running, Waiting, Slots int }

// Response is what an endpoint's headers say beside HTTP.
type Response struct {
	RequestID  string
	Signed     bool   // the endpoint vouches for the body
	NotRun     bool   // the endpoint says that it has not run the request
	EndpointID string // id of the endpoint that answered
	HasLoad    bool
	Load       Load
}

// Codec translates between HTTP heads and the types of this package. It
// decides nothing.
type Codec interface {
	// DecodeRequest returns an error for header fields that cannot be read.
	DecodeRequest(h *http1.Head) (Request, error)
	// EncodeRequest returns the head to send with a body of the given length.
	EncodeRequest(h *http1.Head, s AttemptOptions, length int64) []byte
	DecodeResponse(h *http1.Head) Response
	// EncodeRefusal returns the header fields of an answer of the router's own.
	EncodeRefusal(id string, retryAfter time.Duration) []http1.Field
}
