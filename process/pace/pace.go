package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the least time for which runs are remembered, and half of the longest.
	window = 30 * time.Second
	// maxRuns bounds the runs of one kind that are remembered in a window.
	maxRuns = 1024
	// maxTokens bounds sizes, so that a malformed one stays within the range of the arithmetic.
	maxTokens = 1 << 30
	// maxBound stands for all longer times.
	maxBound = 24 * time.Hour
)

// Size is what is known of the output of a request before it runs, in tokens; 0 is unknown.
type Size struct {
	Expected int // the caller's estimate
	Most     int // the bound on the output
}

// basis is what is known of a size.
type basis uint8

const (
	unsized basis = iota
	byEstimate
	byMost
)

// bases returns what is known of the size, the most telling first.
func (s Size) bases() []basis {
	var list []basis
	if s.Expected > 0 {
		list = append(list, byEstimate)
	}
	if s.Most > 0 {
		list = append(list, byMost)
	}
	if len(list) == 0 {
		list = append(list, unsized)
	}
	return list
}

// log returns the logarithm of the size.
func (s Size) log(b basis) float64 {
	tokens := 1
	switch {
	case b == byEstimate && s.Most > 0:
		tokens = min(s.Expected, s.Most)
	case b == byEstimate:
		tokens = s.Expected
	case b == byMost:
		tokens = s.Most
	}
	return math.Log(float64(min(tokens, maxTokens)))
}

// Run is a request that an endpoint ran.
type Run struct {
	Size     Size
	Took     time.Duration
	Complete bool // the response was; others only show how long a run takes at least
}

// Table holds the times of the recent runs of each route. Its zero value is ready; it is safe for
// concurrent use.
type Table struct {
	mu                sync.Mutex
	current, previous map[kind][]point
	since             time.Time // start of current
}

// kind is runs that are compared with one another.
type kind struct {
	route string
	basis basis
}

// Record adds a run.
func (t *Table) Record(now time.Time, route string, r Run) {
	y := math.Log(float64(max(r.Took, time.Microsecond)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	for _, b := range r.Size.bases() {
		k := kind{route, b}
		points := t.current[k]
		if len(points) >= maxRuns {
			points = points[1:]
		}
		t.current[k] = append(points, point{x: r.Size.log(b), y: y, complete: r.Complete})
	}
}

// Bound returns the time that the next request of the route takes at most, but for one in a thousand. It
// returns false if no run of the route is known of which as much was known.
func (t *Table) Bound(now time.Time, route string, size Size) (time.Duration, bool) {
	for _, b := range size.bases() {
		if l, ok := fit(t.recent(now, kind{route, b})); ok {
			return duration(math.Exp(l.upper(size.log(b)))), true
		}
	}
	return 0, false
}

// duration returns ns as a duration, at most maxBound.
func duration(ns float64) time.Duration {
	if ns < float64(maxBound) {
		return time.Duration(ns) + time.Microsecond // not below what was seen, by rounding
	}
	return maxBound // also for what is not a number
}

// recent returns the runs of a kind.
func (t *Table) recent(now time.Time, k kind) []point {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return append(append([]point(nil), t.previous[k]...), t.current[k]...)
}

// rotate forgets old runs. The caller holds t.mu.
func (t *Table) rotate(now time.Time) {
	age := now.Sub(t.since)
	if age < window {
		return
	}
	t.previous = t.current
	if age >= 2*window {
		t.previous = nil
	}
	t.current, t.since = make(map[kind][]point), now
}
