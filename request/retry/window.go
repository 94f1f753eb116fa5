package retry

import (
	"sync"
	"time"
)

const (
	windowBuckets = 10 // of one span
	// requestShare is the part of the ratio that a router's own requests earn.
	// Callers may move from one router to another, so that the repeats of a span
	// are earned by requests of two spans, of which only one counts.
	requestShare = 0.5
)

// Window keeps the repeats of each service under a bound that all routers
// share. Each router stays under its own requests' part of the bound and an
// equal part of the slack, so no message is needed. It is safe for concurrent
// use; Window.mu is a leaf.
type Window struct {
	span time.Duration // any span of this length counts

	mu       sync.Mutex
	ratio    float64 // repeats allowed per request
	slack    float64 // repeats allowed on top, for all routers together
	services map[string]*counts
}

// counts holds requests and repeats by time. A span that slides touches one
// bucket more than it is long.
type counts struct {
	newest   int64
	requests [windowBuckets + 1]int
	repeats  [windowBuckets + 1]int
}

// NewWindow returns a Window without requests that allows no repeats before
// SetBound.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span, services: make(map[string]*counts)}
}

// SetBound sets the repeats that are allowed for each request, and those on top
// for all routers together.
func (w *Window) SetBound(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// Request counts a caller's request for service.
func (w *Window) Request(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, at := w.at(now, service)
	c.requests[at]++
}

// Take draws one repeat to service and reports whether it is allowed. members
// is the number of routers that share the slack.
func (w *Window) Take(now time.Time, service string, members int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, at := w.at(now, service)
	bound := requestShare*w.ratio*float64(c.sum(&c.requests, windowBuckets)) + w.slack/float64(max(1, members))
	if float64(c.sum(&c.repeats, windowBuckets+1)+1) > bound {
		return false
	}
	c.repeats[at]++
	return true
}

func (w *Window) at(now time.Time, service string) (*counts, int) {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	bucket := now.UnixNano() / int64(w.span/windowBuckets)
	const size = windowBuckets + 1
	for steps := 0; c.newest < bucket && steps < size; steps++ {
		c.newest++
		if steps == 0 && bucket-c.newest >= size {
			c.newest = bucket - size + 1
		}
		c.requests[c.newest%size], c.repeats[c.newest%size] = 0, 0
	}
	return c, int(c.newest % size)
}

// sum adds up the newest buckets.
func (c *counts) sum(list *[windowBuckets + 1]int, newest int64) int {
	total := 0
	for age := int64(0); age < newest && age <= c.newest; age++ {
		total += list[(c.newest-age)%int64(len(list))]
	}
	return total
}
