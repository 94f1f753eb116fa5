package breaker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// State is the state of a breaker.
type State uint8

// The states of a breaker.
const (
	Closed   State = iota // work goes through
	Open                  // no work goes through
	HalfOpen              // a probe is in progress
)

var stateNames = [...]string{"closed", "open", "half_open"}

// String returns the stable identifier of s.
func (s State) String() string {
	return stateNames[s]
}

const (
	// failuresToOpen is the number of failures in a row that opens a breaker.
	failuresToOpen = 3
	// firstOpen is how long a breaker stays open at first. It doubles with
	// every failed probe up to maxOpen.
	firstOpen = time.Second
	maxOpen   = 30 * time.Second
	// openJitter is the part of the open time that is random, so that routers
	// do not probe together.
	openJitter = 0.3
	// probeTimeout is when a probe without result is given up and another may
	// go.
	probeTimeout = 10 * time.Second
)

type breaker struct {
	state    State
	failures int
	last     outcome.Code
	period   time.Duration // of the last opening
	until    time.Time     // end of the open time, or of the probe
}

// Breakers holds the breakers of all endpoints. It is safe for concurrent use.
type Breakers struct {
	mu     sync.Mutex
	rng    *rand.Rand
	byName map[string]*breaker // only endpoints with recent failures
}

// New returns breakers that are all closed. rng spreads the probes of routers.
func New(rng *rand.Rand) *Breakers {
	return &Breakers{rng: rng, byName: make(map[string]*breaker)}
}

// Allow reports whether a request may go to endpoint. In the half-open state
// the request that is let through is the probe: its result must be recorded.
// When it is not allowed, Allow returns the time at which to ask again.
func (b *Breakers) Allow(now time.Time, endpoint string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	br, ok := b.byName[endpoint]
	if !ok || br.state == Closed {
		return time.Time{}, true
	}
	if now.Before(br.until) {
		return br.until, false
	}
	br.state = HalfOpen
	br.until = now.Add(probeTimeout)
	return time.Time{}, true
}

// Success records that endpoint answered.
func (b *Breakers) Success(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byName, endpoint)
}

// Failure records that endpoint failed a request with code. It returns the end
// of the time for which the breaker is now open, if it is.
func (b *Breakers) Failure(now time.Time, endpoint string, code outcome.Code) (time.Time, bool) {
	if !Counts(code) {
		return time.Time{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	br, ok := b.byName[endpoint]
	if !ok {
		br = &breaker{}
		b.byName[endpoint] = br
	}
	br.failures++
	br.last = code
	switch {
	case br.state == Open:
		return br.until, true // a request that was sent before
	case br.state == HalfOpen, br.failures >= failuresToOpen:
		br.open(now, b.rng)
		return br.until, true
	default:
		return time.Time{}, false
	}
}

func (br *breaker) open(now time.Time, rng *rand.Rand) {
	br.state = Open
	br.period = min(max(br.period*2, firstOpen), maxOpen)
	jitter := 1 + openJitter*rng.Float64()
	br.until = now.Add(time.Duration(float64(br.period) * jitter))
}

// Counts reports whether code is a failure of the endpoint. Refusals for load,
// a cold start or the caller's own fault are none.
func Counts(code outcome.Code) bool {
	switch code {
	case outcome.EndpointFailed, outcome.EndpointSilent, outcome.AnswerTruncated, outcome.AnswerCrossed:
		return true
	default:
		return false
	}
}

// Status describes a breaker that is not closed.
type Status struct {
	State State
	Code  outcome.Code // of the last failure
	Until time.Time
}

// Status returns the state of endpoint's breaker.
func (b *Breakers) Status(endpoint string) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	br, ok := b.byName[endpoint]
	if !ok {
		return Status{}
	}
	return Status{State: br.state, Code: br.last, Until: br.until}
}
