package forward

import (
	"net"
	"time"

	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Record describes a request, its outcome and how its endpoints were chosen.
type Record struct {
	ID                  string
	Method              string
	Target              string
	Route               string
	Version             int64         // of the configuration
	Objective           time.Duration // latency objective of the route
	Arrived             time.Time
	Duration            time.Duration
	FirstByte           time.Duration // until the first byte of the response; 0 if none
	Code                outcome.Code
	Status              int
	RetryAfter          time.Duration
	Fingerprint         suspect.Fingerprint // of the body, if an attempt failed; 0 otherwise
	QuarantinedPart     uint64              // of the prompt, for which it was refused; 0 if none
	PromptKey           uint64              // of the prompt's shared parts; 0 if none
	Parts               []uint64            // of the prompt, in order; if an attempt failed
	SharedTokens        int                 // tokens of these parts
	Endpoints           []string            // chosen for it, in order, also those not reached
	EndpointVersions    []string            // their software versions
	Connections         []Connection        // to them, in order; zero for one that was not reached
	LastGrant           balance.Grant       // of the last attempt
	ReportedLoad        int                 // requests that its endpoint ran and queued with the response, this one included; 0 if it did not say
	ReportedPace        float64             // pace that its endpoint reported with the response; 0 if it did not say
	MalformedLoads      int                 // responses whose report of the endpoint's load, or a part of it, could not be read
	Refusal             *balance.Refusal    // why no endpoint was chosen; nil if one was
	Permit              Permit              // that was asked for last; zero if none was
	FailedAttempts      []FailedAttempt
	Takeovers           []Takeover    // in order; by endpoints that were asked beside a silent one
	Relayed             bool          // another router passed it on
	Relays              []string      // addresses of the routers to which this one passed it on
	Runs                int           // endpoints that may have run it, so far
	Dials               int           // connections opened for it
	MismatchedResponses int           // responses on its connection that were to other requests, or may have been
	HeadSent            bool          // the head of the response was sent to the caller
	Events              int           // of a stream, passed on
	Resumes             string        // id of the caller's attempt that began the stream; "" if this one did
	LastEventID         int64         // last event that the caller had when the request arrived; -1 if none
	Resumed             int           // times that a stream was resumed at another endpoint
	Draining            time.Duration // from the beginning of the process's drain until the whole request was read; 0 before it
	Reading             time.Duration // from the first byte of a request that arrived in the drain to its last
	Others              Others        // when the request arrived in the drain
	Left                time.Duration // of the process when it decided whether a late request is complete in time; 0 if it did not
	Bound               time.Duration // on the time of the request, which it compared with Left; 0 if none was known
	Longest             time.Duration // that a stream like it may take, if it was compared; 0 if it was not known
	LastResort          bool          // it was taken though it may not be complete, as no router had more time for it
	Ejected             string        // endpoint that was ejected because of this request
	Error               string
}

// Connection is a connection to an endpoint.
type Connection struct{ Local, Remote net.Addr }

// String returns both addresses as the errors of the connection name them, or "" if there is none.
func (c Connection) String() string {
	if c.Local == nil || c.Remote == nil {
		return ""
	}
	return c.Local.String() + "->" + c.Remote.String()
}

// firstEvent returns the time until the first event of a stream, or 0 if it had none.
func (r *Record) firstEvent() time.Duration {
	if r.Events == 0 {
		return 0
	}
	return r.FirstByte
}

// FailedAttempt is an attempt that failed or got a server error.
type FailedAttempt struct {
	Endpoint string          `json:"endpoint"`
	Failure  balance.Failure `json:"failure"`
	Run      outcome.Run     `json:"run"`
	Status   int             `json:"status,omitempty"`  // of the endpoint's response
	AfterMS  int64           `json:"after_ms"`          // from the request's arrival
	Crashed  bool            `json:"crashed,omitempty"` // the endpoint was found to be down after it
	EndedBy  EndedBy         `json:"ended_by,omitempty"`
	SilentMS int64           `json:"silent_ms,omitempty"` // for which the endpoint had sent nothing when the attempt ended
	Events   int             `json:"events,omitempty"`    // of its stream, passed on
	EventMS  float64         `json:"event_ms,omitempty"`  // mean time between them
	Error    string          `json:"error,omitempty"`
}

// EndedBy is what ended an attempt that its endpoint did not end.
type EndedBy string

// What ends attempts.
const (
	EndedByDeadline EndedBy = "deadline"
	EndedByCaller   EndedBy = "caller"  // it closed its connection
	EndedByProcess  EndedBy = "process" // it ends
)

// Takeover is a time in which a request was at two endpoints, as the first had fallen silent.
type Takeover struct {
	First     string         `json:"first"`
	Successor string         `json:"successor"`
	AfterMS   int64          `json:"after_ms"` // from the request's arrival, its beginning
	UntilMS   int64          `json:"until_ms"` // the same, its end
	Result    TakeoverResult `json:"result"`
}

// TakeoverResult is how a takeover ended.
type TakeoverResult string

// The results.
const (
	TakeoverDone      TakeoverResult = "taken_over" // the successor brought what the request goes on with
	TakeoverNotNeeded TakeoverResult = "not_needed" // the first did, or the request ended
	TakeoverTooSlow   TakeoverResult = "too_slow"   // the successor brought nothing within the overlap, and was ended
	TakeoverFailed    TakeoverResult = "failed"     // the successor refused or failed
	TakeoverAlone     TakeoverResult = "alone"      // the first ended, and the successor went on without having brought anything
)
