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
	Closed   State = iota // requests are allowed
	Open                  // no requests are allowed
	HalfOpen              // a probe is in progress
)

var stateNames = [...]string{"closed", "open", "half_open"}

// String returns the stable identifier of s.
func (s State) String() string {
	return stateNames[s]
}

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failuresToOpen = 3
	// initialOpenTime is how long a breaker stays open at first. It doubles with
	// every failed probe up to maxOpenTime.
	initialOpenTime = time.Second
	maxOpenTime     = 30 * time.Second
	// openJitter is the fraction by which open times are randomly extended, so that
	// routers do not probe at the same time.
	openJitter = 0.3
	// probeTimeout is the time after which a probe without a result no longer
	// blocks another one.
	probeTimeout = 10 * time.Second
)

type breaker struct {
	state    State
	failures int
	lastCode outcome.Code
	openTime time.Duration // of the last opening
	until    time.Time     // end of the open time, or of probeTimeout
}

// Breakers holds the breakers of all endpoints. It is safe for concurrent use.
type Breakers struct {
	mu     sync.Mutex
	rng    *rand.Rand
	byName map[string]*breaker // only endpoints that failed since their last success
}

// New returns breakers that are all closed. rng adds jitter to the open times.
func New(rng *rand.Rand) *Breakers {
	return &Breakers{rng: rng, byName: make(map[string]*breaker)}
}

// Allow decides whether a request may be sent to endpoint. After the open time, the
// allowed request is the probe: its result must be recorded, or another is allowed after
// probeTimeout. If not allowed, Allow returns the time at which to ask again.
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

// Success records a successful request to endpoint.
func (b *Breakers) Success(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byName, endpoint)
}

// Failure records that a request to endpoint failed with code, if IsFailure. If the
// breaker is open now, Failure returns the end of the open time.
func (b *Breakers) Failure(now time.Time, endpoint string, code outcome.Code) (time.Time, bool) {
	if !IsFailure(code) {
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
	br.lastCode = code
	switch {
	case br.state == Open:
		return br.until, true // the request was sent before the breaker opened
	case br.state == HalfOpen, br.failures >= failuresToOpen:
		br.open(now, b.rng)
		return br.until, true
	default:
		return time.Time{}, false
	}
}

func (br *breaker) open(now time.Time, rng *rand.Rand) {
	br.state = Open
	br.openTime = min(max(br.openTime*2, initialOpenTime), maxOpenTime)
	jitter := 1 + openJitter*rng.Float64()
	br.until = now.Add(time.Duration(float64(br.openTime) * jitter))
}

// IsFailure reports whether code is a failure of the endpoint. Refusals because of
// load or a cold start and faults of the caller are not.
func IsFailure(code outcome.Code) bool {
	switch code {
	case outcome.EndpointFailed, outcome.EndpointSilent, outcome.AnswerTruncated, outcome.AnswerCrossed:
		return true
	default:
		return false
	}
}

// Status describes a breaker. It is zero if no request failed since the last success.
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
	return Status{State: br.state, Code: br.lastCode, Until: br.until}
}
