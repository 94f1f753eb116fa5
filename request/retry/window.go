package retry

import (
	"sync"
	"time"
)

const (
	windowBuckets = 10 // per window
	// countedRequestShare is the fraction of the ratio that a router's own requests
	// allow. Callers may move from one router to another, so that the retries of a
	// window are allowed by requests of two windows, of which only one counts.
	countedRequestShare = 0.5
)

// Window keeps the retries of each service under a bound that all routers share.
// Each router stays under its own requests' part of the bound and an equal part of
// the slack, so no coordination is needed. It is safe for concurrent use;
// Window.mu is a leaf.
type Window struct {
	span time.Duration // length of the sliding window

	mu       sync.Mutex
	ratio    float64 // retries allowed per request
	slack    float64 // additional retries allowed, for all routers together
	services map[string]*serviceCounts
}

// serviceCounts holds the requests and retries of a service by bucket. A sliding
// window touches one bucket more than its length.
type serviceCounts struct {
	newest   int64
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
}

// NewWindow returns a Window without requests. It allows no retries before
// SetBound.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span, services: make(map[string]*serviceCounts)}
}

// SetBound sets the retries that are allowed for each request, and the additional
// ones for all routers together.
func (w *Window) SetBound(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// CountRequest counts a caller's request for service.
func (w *Window) CountRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, bucket := w.advance(now, service)
	c.requests[bucket]++
}

// Allow withdraws one retry to service and reports whether it is allowed. members
// is the number of routers that share the slack.
func (w *Window) Allow(now time.Time, service string, members int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, bucket := w.advance(now, service)
	bound := countedRequestShare*w.ratio*float64(c.sum(&c.requests, windowBuckets)) + w.slack/float64(max(1, members))
	if float64(c.sum(&c.retries, windowBuckets+1)+1) > bound {
		return false
	}
	c.retries[bucket]++
	return true
}

// advance returns the counts of service with the buckets up to now, and the
// current bucket.
func (w *Window) advance(now time.Time, service string) (*serviceCounts, int) {
	c := w.services[service]
	if c == nil {
		c = &serviceCounts{}
		w.services[service] = c
	}
	bucket := now.UnixNano() / int64(w.span/windowBuckets)
	const size = windowBuckets + 1
	for steps := 0; c.newest < bucket && steps < size; steps++ {
		c.newest++
		if steps == 0 && bucket-c.newest >= size {
			c.newest = bucket - size + 1
		}
		c.requests[c.newest%size], c.retries[c.newest%size] = 0, 0
	}
	return c, int(c.newest % size)
}

// sum adds up the newest buckets.
func (c *serviceCounts) sum(list *[windowBuckets + 1]int, newest int64) int {
	total := 0
	for age := int64(0); age < newest && age <= c.newest; age++ {
		total += list[(c.newest-age)%int64(len(list))]
	}
	return total
}
