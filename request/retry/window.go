package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds the repeats of a service over all routers.
type WindowConfig struct {
	Span  time.Duration // any span of this length counts
	Ratio float64       // repeats allowed per request
	Slack float64       // repeats allowed on top, for all routers together
}

const (
	windowBuckets = 10   // of one span
	windowUse     = 0.85 // of the bound that is used; the rest covers requests that end in another bucket
)

// Window keeps the repeats of each service under a bound that all routers
// share. Each router stays under its own requests' part of the bound and an
// equal part of the slack, so no message is needed. It is safe for concurrent
// use; Window.mu is a leaf.
type Window struct {
	cfg WindowConfig

	mu       sync.Mutex
	services map[string]*counts
}

// counts holds requests and repeats by time, two spans long, as the requests
// of the span before count too.
type counts struct {
	newest   int64
	requests [2 * windowBuckets]int
	repeats  [2 * windowBuckets]int
}

// NewWindow returns a Window without requests.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, services: make(map[string]*counts)}
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
	bound := w.cfg.Ratio*float64(c.most()) + w.cfg.Slack/float64(max(1, members))
	// A span that slides touches one bucket more than it is long.
	if float64(c.sum(&c.repeats, 0, windowBuckets+1)+1) > bound*windowUse {
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
	bucket := now.UnixNano() / int64(w.cfg.Span/windowBuckets)
	const size = 2 * windowBuckets
	for steps := 0; c.newest < bucket && steps < size; steps++ {
		c.newest++
		if steps == 0 && bucket-c.newest >= size {
			c.newest = bucket - size + 1
		}
		c.requests[c.newest%size], c.repeats[c.newest%size] = 0, 0
	}
	return c, int(c.newest % size)
}

// most returns the requests of the newest span or of the one before.
func (c *counts) most() int {
	return max(c.sum(&c.requests, 0, windowBuckets), c.sum(&c.requests, windowBuckets, 2*windowBuckets))
}

// sum adds up buckets by age, from inclusive, to exclusive.
func (c *counts) sum(list *[2 * windowBuckets]int, from, to int64) int {
	total := 0
	for age := from; age < to; age++ {
		if c.newest >= age {
			total += list[(c.newest-age)%int64(len(list))]
		}
	}
	return total
}
