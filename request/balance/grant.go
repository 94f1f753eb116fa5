package balance

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Request describes the endpoint that a request needs.
type Request struct {
	Service string
	Key     uint64 // of the prompt's shared parts
	HasKey  bool
	Exclude []string // endpoints that the request has tried
	Class   string   // requests of the same class bring about the same work
	// Workspace is whose request it is; "" on public routes.
	Workspace string
	// Objective is the time until the first byte of the answer.
	Objective   time.Duration
	UrgencyRank int // of its urgency in the service; 0 is the most urgent
}

// Grant is an endpoint that was chosen for a request and counts it until the
// request is released.
type Grant struct {
	ID        string
	Started   int64 // tells processes of the same id apart
	Addr      string
	Zone      string
	Service   string
	FetchFrom string        // address of an endpoint that may cache more of the prompt
	KeyCached bool          // it was known to hold the prompt key
	Holders   int           // endpoints known to hold it
	Running   int           // requests known to run there when it was chosen
	Cold      bool          // it was in a cold start
	Age       time.Duration // since the registry's entry was read
	ChosenAt  time.Time     // when it was chosen
	Class     string        // of the request
}

// Refusal says why no endpoint can be chosen and when to ask again.
type Refusal struct {
	Code       outcome.Code
	RetryAfter time.Duration
	// Of the least loaded endpoint, if all are full.
	Running     float64 // requests that it is known to have
	Limit       float64 // most that it may have for this request
	UrgencyRank int     // urgencies that go before the request's
}

// Failure says how an endpoint failed a request.
type Failure uint8

// The results that count for or against an endpoint.
const (
	NoFailure   Failure = iota
	NotReached          // no connection was established
	Broken              // the connection ended, or its bytes were no whole answer
	ServerError         // an answer with a server error
	Shed                // refused without running it
	TimedOut            // no answer within the time that the request had
	Abandoned           // the caller left or the router gave up; says nothing of the endpoint
)

var failureNames = [...]string{"none", "not_reached", "broken", "erred", "shed", "timed_out", "abandoned"}

// String returns the stable identifier of f.
func (f Failure) String() string { return failureNames[f] }

// MarshalText implements encoding.TextMarshaler.
func (f Failure) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
