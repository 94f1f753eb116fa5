package pace

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Silence is how long a sound endpoint may fall silent during a run.
const Silence = 1500 * time.Millisecond

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

// Size is what is known of a request before it runs, in tokens; 0 is unknown.
type Size struct {
	Expected int // the caller's estimate of the output
	Most     int // the bound on the output
	Prompt   int
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
	First    time.Duration // until the first event of a stream; 0 if it is none
	Events   int           // of a stream
	Service  string        // that the route names
	Complete bool          // the response was; others only show how long a run takes at least
}

// Table holds the times of the recent runs of each route. Its zero value is ready; it is safe for
// concurrent use.
type Table struct {
	mu                sync.Mutex
	current, previous history
	since             time.Time // start of current
	running           map[*Running]struct{}
	justEnded         []*Running // in the order of their ends
}

// history is the runs of a window that have ended.
type history struct {
	points    map[kind][]point
	intervals map[source][]float64 // logarithms of the intervals of events
	ratios    map[string][]float64 // logarithms of the tokens of an event, by service
}

// source is where streams come from: a service, and a route to it or "" for all of its routes.
type source struct{ service, route string }

func newHistory() history {
	return history{points: make(map[kind][]point), intervals: make(map[source][]float64), ratios: make(map[string][]float64)}
}

// Running is a run in progress.
type Running struct {
	began          time.Time
	route, service string
	size           Size
	speed          speed
	ended          time.Time // guarded by Table.mu
}

// Progress records that the response had some events at now. It does nothing if r is nil.
func (r *Running) Progress(now time.Time, events int) {
	if r != nil {
		r.speed.add(mark{now.Sub(r.began), events})
	}
}

// kind is runs that are compared with one another.
type kind struct {
	route string
	basis basis
}

// Begin adds a run of a service in progress that began at began. It counts until End.
func (t *Table) Begin(began time.Time, route, service string, size Size) *Running {
	r := &Running{began: began, route: route, service: service, size: size}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = make(map[*Running]struct{})
	}
	t.running[r] = struct{}{}
	return r
}

// End removes a run in progress. It records how fast its last events came, but not its time.
func (t *Table) End(now time.Time, r *Running) {
	interval, ok := r.speed.interval()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, r)
	if !ok {
		return
	}
	t.rotate(now)
	r.ended = now
	old, _ := slices.BinarySearchFunc(t.justEnded, now.Add(-recentTime), func(r *Running, at time.Time) int { return r.ended.Compare(at) })
	t.justEnded = appendBounded(slices.Delete(t.justEnded, 0, old), r)
	for _, from := range r.sources() {
		t.current.intervals[from] = appendBounded(t.current.intervals[from], math.Log(interval))
	}
}

// appendBounded appends a value to a list of at most maxRuns, in place of the first one if it is full.
func appendBounded[T any](list []T, value T) []T {
	if len(list) >= maxRuns {
		list = list[1:]
	}
	return append(list, value)
}

// Record adds a run that has ended.
func (t *Table) Record(now time.Time, route string, r Run) {
	y, events := math.Log(float64(max(r.Took, time.Microsecond))), 0.0
	if r.First > 0 && r.First < r.Took {
		events = 1 - float64(r.First)/float64(r.Took)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if ratio, ok := r.ratio(); ok {
		t.current.ratios[r.Service] = appendBounded(t.current.ratios[r.Service], ratio)
	}
	for _, b := range r.Size.bases() {
		k := kind{route, b}
		t.current.points[k] = appendBounded(t.current.points[k], point{x: r.Size.log(b), y: y, events: events, prompt: r.Size.Prompt, complete: r.Complete})
	}
}

// Bound returns the time that the next request of the route takes at most, but for one in a thousand, at the
// speed at which its service is now; for a stream no more than with all the output that it may have. It returns false if no
// run of the route is known of which as much was known, or if one in progress takes longer than those runs tell, so that how
// long it takes is not known.
func (t *Table) Bound(now time.Time, route, service string, size Size) (time.Duration, bool) {
	bound, known := t.fittedBound(now, route, service, size)
	if longest, ok := t.Longest(now, route, service, size); ok && (!known || longest < bound) {
		return longest, true
	}
	return bound, known
}

// fittedBound is the bound that the times of earlier runs give.
func (t *Table) fittedBound(now time.Time, route, service string, size Size) (time.Duration, bool) {
	l, b, ok := t.fit(now, route, service, size)
	if !ok {
		return 0, false
	}
	for _, p := range t.inProgress(now, kind{route, b}) {
		if p.y > l.upper(p.x)+math.Log(l.larger(p.prompt)) {
			return 0, false
		}
	}
	return duration(math.Exp(l.upper(size.log(b))) * l.larger(size.Prompt)), true
}

// Rest returns the time from its first event that a run in progress takes at most, but for one in ten, at the speed
// at which its service is now. It returns false if no run of its route is known of which as much was known.
func (t *Table) Rest(now time.Time, r *Running) (time.Duration, bool) {
	rest, known := maxBound, false
	if l, b, ok := t.fit(now, r.route, r.service, r.size); ok {
		rest, known = duration(math.Exp(l.likelyUpper(r.size.log(b)))), true
	}
	if _, longest, ok := t.longest(now, r.route, r.service, r.size); ok {
		rest, known = min(rest, longest), true
	}
	return rest, known
}

// fit fits a line to the runs of a route of which as much was known, and returns what that was.
func (t *Table) fit(now time.Time, route, service string, size Size) (line, basis, bool) {
	for _, b := range size.bases() {
		if l, ok := fit(t.ended(now, kind{route, b}), t.slowdown(now, service)); ok {
			return l, b, true
		}
	}
	return line{}, unsized, false
}

// inProgress returns the runs of a kind that are in progress, with the times that they take at least. Of an
// endpoint that sends nothing only what is beyond Silence counts.
func (t *Table) inProgress(now time.Time, k kind) []point {
	t.mu.Lock()
	defer t.mu.Unlock()
	var points []point
	for r := range t.running {
		if r.route == k.route && slices.Contains(r.size.bases(), k.basis) {
			took := max(r.speed.progress(), now.Sub(r.began)-Silence, 1)
			points = append(points, point{x: r.size.log(k.basis), y: math.Log(float64(took)), prompt: r.size.Prompt})
		}
	}
	return points
}

// duration returns ns as a duration, at most maxBound.
func duration(ns float64) time.Duration {
	if ns < float64(maxBound) {
		return time.Duration(ns) + time.Microsecond // not below what was seen, by rounding
	}
	return maxBound // also for what is not a number
}

// ended returns the runs of a kind that have ended.
func (t *Table) ended(now time.Time, k kind) []point {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return append(slices.Clone(t.previous.points[k]), t.current.points[k]...)
}

// rotate forgets old runs. The caller holds t.mu.
func (t *Table) rotate(now time.Time) {
	age := now.Sub(t.since)
	if age < window {
		return
	}
	t.previous = t.current
	if age >= 2*window {
		t.previous = history{}
	}
	t.current, t.since = newHistory(), now
}
