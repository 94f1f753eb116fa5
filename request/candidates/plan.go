package candidates

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// Reason is why an endpoint is a candidate.
type Reason uint8

// The reasons; the first three are sources of a chat's placement, most trusted first.
const (
	ReasonToken      Reason = iota + 1 // named by the caller's place token
	ReasonDirectory                    // named by the directory (package directory) at the chat's home router
	ReasonEvents                       // named by cache events
	ReasonRendezvous                   // first by rendezvous weight
	ReasonOverflow                     // a later choice by rendezvous weight
	ReasonLeastLoad                    // least loaded of the group by hints
)

var reasonNames = [...]string{"none", "token", "directory", "events", "rendezvous", "overflow", "least_load"}

// String returns the stable identifier of r in logs and metrics.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}

// CacheLocation is an endpoint at which the chat's prefix may be cached.
type CacheLocation struct {
	Endpoint    string
	Incarnation uint64    // 0 if unknown
	Tokens      int       // cached length
	Confidence  float64   // probability that it is still cached; 0 counts as 1
	At          time.Time // time of the information; zero if unknown
	Reason      Reason
}

// Input describes a request to the Selector.
type Input struct {
	Chat             placetoken.Chat // 0 if the request belongs to no chat
	HashKey          uint64          // rendezvous key of a request without a chat
	Kind             *config.Kind
	Age              time.Duration   // since the caller sent the request
	Deadline         time.Duration   // age from which the response has no worth
	Prompt           int             // estimated prompt tokens
	TimeAfterPrefill time.Duration   // expected time at an endpoint after prefill
	CacheLocations   []CacheLocation // where the prefix may be cached
	Returning        bool            // the chat has had a turn before
	Tried            []string        // endpoints that must not be tried again
}

// newerElsewhere reports whether a newer location at another endpoint is known.
func (in *Input) newerElsewhere(location *CacheLocation) bool {
	for i := range in.CacheLocations {
		other := &in.CacheLocations[i]
		if other.Endpoint != location.Endpoint && other.At.After(location.At) {
			return true
		}
	}
	return false
}

// Candidate is an endpoint to try.
type Candidate struct {
	Endpoint *config.Endpoint
	Reason   Reason
	Cached   int           // expected cached tokens of the prompt
	MaxWait  time.Duration // longest wait in the owner's queue before the next candidate is better
	Expected time.Duration // expected time until the response is complete
	MoveFrom string        // endpoint from which the cache is moved first, or ""

	endpointTime time.Duration // endpoint time spent on prefill and, if any, the move
	score        float64
}

// MaxCandidates is the largest number of candidates of a Plan.
const MaxCandidates = 8

// Plan lists the endpoints to try, best first.
type Plan struct {
	list [MaxCandidates]Candidate
	n    int

	// Code is the reason if there is no candidate: NoEndpoint, BreakerOpen or
	// DeadlineTooShort. Otherwise it is OK.
	Code outcome.Code
	// RetryAfter is the retry time if there is no candidate.
	RetryAfter time.Duration
}

// Candidates returns the endpoints to try, best first.
func (p *Plan) Candidates() []Candidate {
	return p.list[:p.n]
}

func (p *Plan) add(c Candidate) {
	if p.n < MaxCandidates {
		p.list[p.n] = c
		p.n++
	}
}

func (p *Plan) contains(e *config.Endpoint) bool {
	for i := range p.n {
		if p.list[i].Endpoint == e {
			return true
		}
	}
	return false
}

// setWaits sets each MaxWait to the wait at which the next candidate becomes better.
// The last candidate may wait for all the remaining time.
func (p *Plan) setWaits(w *scorer) {
	for i := range p.n {
		c := &p.list[i]
		if i == p.n-1 {
			c.MaxWait = max(w.in.Deadline-w.in.Age-w.in.TimeAfterPrefill, 0)
			return
		}
		c.MaxWait = w.waitForScore(c.score - p.list[i+1].score)
	}
}

// sort orders the candidates by score, highest first. Insertion sort is stable and
// allocates nothing.
func (p *Plan) sort() {
	for i := 1; i < p.n; i++ {
		for k := i; k > 0 && p.list[k].score > p.list[k-1].score; k-- {
			p.list[k], p.list[k-1] = p.list[k-1], p.list[k]
		}
	}
}
