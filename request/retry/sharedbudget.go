package retry

import (
	"sync"
	"time"
)

const (
	windowBuckets = 10 // per window
	// countedRequestShare scales the retries that a router's own requests allow. When
	// callers move between routers, requests of two successive windows can allow the
	// retries of one window, but the bound counts the requests of one window only.
	countedRequestShare = 0.5
)

// SharedBudget keeps the retries of each service under a bound that all routers share.
// Each router stays under its own requests' part of the bound and an equal part of
// the slack, so no coordination is needed. It is safe for concurrent use;
// SharedBudget.mu is a leaf.
type SharedBudget struct {
	span time.Duration // length of the sliding window

	mu       sync.Mutex
	ratio    float64 // retries allowed per request
	slack    float64 // additional retries allowed, for all routers together
	services map[string]*serviceCounts
}

// serviceCounts holds the requests and retries of a service by bucket. A sliding
// window overlaps one bucket more than windowBuckets.
type serviceCounts struct {
	newest   int64
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
}

// NewSharedBudget returns a SharedBudget without requests. It allows no retries before
// SetBound.
func NewSharedBudget(span time.Duration) *SharedBudget {
	return &SharedBudget{span: span, services: make(map[string]*serviceCounts)}
}

// SetBound sets the retries that are allowed for each request, and the additional
// ones for all routers together.
func (b *SharedBudget) SetBound(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a caller's request for service.
func (b *SharedBudget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, bucket := b.advance(now, service)
	c.requests[bucket]++
}

// Allow takes one retry to service and reports whether it is allowed. members is
// the number of routers that share the slack. The oldest bucket, only partly in the
// window, counts for retries but not for requests, so that the bound is kept.
func (b *SharedBudget) Allow(now time.Time, service string, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, bucket := b.advance(now, service)
	bound := countedRequestShare*b.ratio*float64(c.sum(&c.requests, windowBuckets)) + b.slack/float64(max(1, members))
	if float64(c.sum(&c.retries, windowBuckets+1)+1) > bound {
		return false
	}
	c.retries[bucket]++
	return true
}

// advance clears the buckets after the newest up to now, and returns the counts of
// service and the current bucket.
func (b *SharedBudget) advance(now time.Time, service string) (*serviceCounts, int) {
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{}
		b.services[service] = c
	}
	bucket := now.UnixNano() / int64(b.span/windowBuckets)
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

// sum adds up the count newest buckets.
func (c *serviceCounts) sum(list *[windowBuckets + 1]int, count int64) int {
	total := 0
	for age := int64(0); age < count && age <= c.newest; age++ {
		total += list[(c.newest-age)%int64(len(list))]
	}
	return total
}
