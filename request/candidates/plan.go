package candidates

import (
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// Reason says why an endpoint is a candidate.
type Reason uint8

// The reasons, in the order in which sources of a chat's place are trusted.
const (
	ReasonToken      Reason = iota + 1 // the caller's token names it
	ReasonDirectory                    // the directory of the chat's home names it
	ReasonEvents                       // cache events named it
	ReasonRendezvous                   // first by rendezvous hashing
	ReasonOverflow                     // a later choice by rendezvous hashing
	ReasonLeastLoad                    // the least loaded of the group by hints
)

var reasonNames = [...]string{"none", "token", "directory", "events", "rendezvous", "overflow", "least_load"}

// String returns the stable identifier of r in logs and metrics.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}

// CacheLocation is a place at which the chat's prefix may be cached.
type CacheLocation struct {
	Endpoint    string
	Incarnation uint64    // 0 if not known
	Tokens      int       // cached length
	Confidence  float64   // probability that it is still there; 0 counts as 1
	At          time.Time // when this was known; zero if not known
	Reason      Reason
}

// Input is a request as the choice sees it.
type Input struct {
	Chat           placetoken.Chat // 0 if the request belongs to no chat
	HashKey        uint64          // takes the place of Chat in hashing if Chat is 0
	Kind           *config.Kind
	Age            time.Duration   // since the caller sent the request
	Deadline       time.Duration   // age at which the answer is worth nothing
	Prompt         int             // estimated prompt tokens
	ServeTime      time.Duration   // expected time at an endpoint after prefill
	CacheLocations []CacheLocation // where the prefix may be cached
	Returning      bool            // the chat has had a turn before
	Tried          []string        // endpoints that are not to be tried again
}

// newerElsewhere reports whether a newer place than known is known.
func (in *Input) newerElsewhere(known *CacheLocation) bool {
	for i := range in.CacheLocations {
		other := &in.CacheLocations[i]
		if other.Endpoint != known.Endpoint && other.At.After(known.At) {
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
	MaxWait  time.Duration // longest wait in the owner's queue that is worth it
	Expected time.Duration // expected time until the answer is complete
	MoveFrom string        // endpoint from which the cache is moved first, or ""

	cost  time.Duration // endpoint time that is spent on prefill or move
	score float64
}

// MaxCandidates is the largest number of candidates of a Plan.
const MaxCandidates = 8

// Plan lists the endpoints to try, best first.
type Plan struct {
	list [MaxCandidates]Candidate
	n    int

	// Code says why there is no candidate: NoEndpoint, BreakerOpen,
	// DeadlineTooShort. It is OK otherwise.
	Code outcome.Code
	// RetryAfter is when a new try makes sense if there is no candidate.
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

func (p *Plan) has(e *config.Endpoint) bool {
	for i := range p.n {
		if p.list[i].Endpoint == e {
			return true
		}
	}
	return false
}

// setWaits gives each candidate the time for which waiting in its queue is
// better than to go on to the next one, and the last one all the time left.
func (p *Plan) setWaits(w *weigher) {
	for i := range p.n {
		c := &p.list[i]
		if i == p.n-1 {
			c.MaxWait = max(w.in.Deadline-w.in.Age-w.in.ServeTime, 0)
			return
		}
		c.MaxWait = w.worthWaiting(c.score - p.list[i+1].score)
	}
}

// sort orders the candidates by score, larger first. Insertion sort keeps
// equal ones in order and allocates nothing.
func (p *Plan) sort() {
	for i := 1; i < p.n; i++ {
		for k := i; k > 0 && p.list[k].score > p.list[k-1].score; k-- {
			p.list[k], p.list[k-1] = p.list[k-1], p.list[k]
		}
	}
}
