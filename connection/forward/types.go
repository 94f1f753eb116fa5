package forward

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/process/pace"
	"github.com/stoatmount/stoatmount/request/balance"
)

// PromptPart is one part of a prompt. Requests with the same leading parts share
// their cache entries.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request holds the decoded headers of a caller's request.
type Request struct {
	ID          string
	Timeout     time.Duration // how long the caller waits, from its arrival; 0 if not given
	Key         string        // API key
	Parts       []PromptPart  // of the prompt, in order; the last belongs to the request or its session
	TokensIn    int           // prompt tokens
	TokensOut   int           // bound on the output tokens
	LengthHint  int           // the caller's estimate of the output tokens; 0 if not given
	LastEventID int64         // the caller has all events up to this one; -1 if none
	Resumes     string        // id of the attempt that brought the first event of the stream; "" if none
}

// size returns what is known of how long the request takes.
func (r *Request) size() pace.Size {
	return pace.Size{Expected: r.LengthHint, Most: r.TokensOut, Prompt: r.TokensIn}
}

// AttemptOptions are the headers that the router adds to one attempt.
type AttemptOptions struct {
	Timeout     time.Duration // until the caller's deadline
	Endpoint    string        // id of the endpoint that may run it
	Workspace   string        // that the API key belongs to; "" on public routes
	LastEventID int64         // replaces the caller's when a stream is resumed; -1 keeps it
	FetchFrom   string        // address of an endpoint that caches more of the prompt; "" if none
	Priority    int           // 0 is admitted first; -1 sends none
}

// RelayOptions are what the router changes in a request that it passes on to another router.
type RelayOptions struct {
	Timeout     time.Duration // until the caller's deadline
	LastEventID int64         // replaces the caller's when a stream is resumed; -1 keeps it
	Resumes     string        // as in Request, with LastEventID
}

// Load is the load that an endpoint reports with a response.
type Load struct {
	Running, Waiting, Slots int
	Pace                    float64 // multiple of the usual time that work takes there now; 0 if not reported
}

// Response holds the decoded headers of an endpoint's response.
type Response struct {
	RequestID  string
	Signed     bool          // the response has an endpoint's signature, which is not verified
	NotRun     bool          // the endpoint has not run the request
	EndpointID string        // of the endpoint that responded
	Leaving    bool          // the endpoint announces that it leaves
	RetryAfter time.Duration // with a refusal: for how long the endpoint wants no requests from this router
	Announced  balance.Announcement
	// AnnouncedMalformed: it announces something that cannot be read.
	AnnouncedMalformed bool
	HasLoad            bool
	Load               Load
	// LoadMalformed: it reports a load, or a part of one, that cannot be read.
	LoadMalformed bool
}

// Codec translates between HTTP heads and the types of this package. It makes
// no decisions.
type Codec interface {
	// DecodeRequest returns an error for header fields that cannot be read.
	DecodeRequest(h *http1.Head) (Request, error)
	// EncodeRequest returns the head to send with a body of the given length.
	EncodeRequest(h *http1.Head, s AttemptOptions, length int64) []byte
	// EncodeRelay returns the head to send to another router with a body of the given length
	// and with fields added. It keeps the fields of the caller.
	EncodeRelay(h *http1.Head, o RelayOptions, length int64, fields []http1.Field) []byte
	DecodeResponse(h *http1.Head) Response
	// EncodeRefusal returns the header fields of a response of the router's own.
	EncodeRefusal(id string, retryAfter time.Duration) []http1.Field
}
