package balance

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Request describes a request for which an endpoint is chosen.
type Request struct {
	Service string
	Key     uint64 // hash of the prompt's shared parts
	HasKey  bool
	// Tokens of the prompt; Shared of them are not read by an endpoint that caches the key.
	Tokens, Shared int
	IDHash         uint64   // hash of the request's id
	Retry          bool     // an endpoint may have run it before
	Exclude        []string // endpoints that the request has tried
	// Version is the software version that the endpoint must have, for a stream that goes
	// on; nil for other requests.
	Version *string
	Class   string // requests of the same class cause about the same work
	// Workspace sent the request; "" on public routes.
	Workspace string
	// Objective is the time in which the first byte of the response is due.
	Objective time.Duration
	// Assigned is the endpoint that the service's permit owner chose; nil if none did.
	Assigned     *Assignment
	PriorityRank int // rank of its priority in the service plus that of its route's; 0 is the most urgent
}

// Assignment names the process of an endpoint.
type Assignment struct {
	ID      string
	Started int64
}

// Grant assigns a request to an endpoint and counts it there until the request is released.
type Grant struct {
	ID        string
	Started   int64 // start of the process, which tells it from others with the same ID
	Addr      string
	Zone      string
	Service   string
	Version   string        // of the endpoint's software
	FetchFrom string        // address of an endpoint that may cache more of the prompt
	KeyCached bool          // the endpoint was known to cache the prompt key
	Holders   int           // endpoints known to cache the prompt key
	Running   int           // requests known to run there when it was chosen
	Cold      bool          // the endpoint was in a cold start
	Age       time.Duration // since the endpoint's registry entry was read
	ChosenAt  time.Time
	Class     string // of the request
	// Reading is the number of the request's prompt tokens that count as waiting at the endpoint, as
	// long as they do.
	Reading       int
	ReadingBefore float64 // tokens that were known to wait there when it was chosen
	Pace          float64 // that the endpoint reported with its response; 0 if none
	Status        int     // of the endpoint's response, once that is complete; 0 if there is none
	// FirstByteCounted: Endpoints.RecordFirstByte or RecordOverdue was called for it.
	FirstByteCounted bool
}

// Refusal is why no endpoint can be chosen and when to retry.
type Refusal struct {
	Code       outcome.Code
	RetryAfter time.Duration
	// State of the least loaded endpoint, if all are full.
	Running      float64 // requests known to run or wait there
	Limit        float64 // largest such number allowed, including this request
	PriorityRank int     // of the request
}

// Failure classifies the result of an attempt, for or against the endpoint.
type Failure uint8

// The results of an attempt.
const (
	NoFailure   Failure = iota
	NotReached          // no connection was established
	Broken              // the connection ended, or the response was malformed or incomplete
	ServerError         // a response with a server error
	Shed                // refused without being run
	TimedOut            // no response within the request's timeout
	Abandoned           // the caller disconnected or the router canceled; says nothing about the endpoint
	ResetAtOnce         // a connection was accepted and reset before it was used; not sent, like NotReached
)

var failureNames = [...]string{"none", "not_reached", "broken", "erred", "shed", "timed_out", "abandoned", "reset_at_once"}

// String returns the stable identifier of f.
func (f Failure) String() string { return failureNames[f] }

// MarshalText implements encoding.TextMarshaler.
func (f Failure) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// Announcement is what an endpoint says in its responses about the requests that it takes
// from all routers together.
type Announcement struct {
	Limited   bool    `json:"limited,omitempty"`
	PerSecond float64 `json:"per_second,omitempty"` // with Limited
	// Brittle: the endpoint crashes after more than MaxRejections in a second for want of room.
	Brittle       bool `json:"brittle,omitempty"`
	MaxRejections int  `json:"max_rejections,omitempty"`
}
