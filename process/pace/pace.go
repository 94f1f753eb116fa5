package pace

import (
	"math"
	"sync"
	"time"
)

// window is the least time for which runs are remembered, and half of the longest.
const window = 30 * time.Second

// Size is what is known of the output of a request before it runs, in tokens; 0 is unknown.
type Size struct {
	Expected int // the caller's estimate
	Most     int // the bound on the output
}

// basis is the kind of a Size.
type basis uint8

const (
	unsized basis = iota
	byEstimate
	byBound
)

func (s Size) basis() (b basis, tokens float64) {
	switch {
	case s.Expected > 0 && s.Most > 0:
		return byEstimate, float64(min(s.Expected, s.Most))
	case s.Expected > 0:
		return byEstimate, float64(s.Expected)
	case s.Most > 0:
		return byBound, float64(s.Most)
	}
	return unsized, 1
}

// Run is a request that an endpoint ran.
type Run struct {
	Size     Size
	First    time.Duration // until the first byte of the response; 0 if there was none
	Total    time.Duration // until its end
	Events   int           // of a stream
	Complete bool          // the response was; others only show how long a run takes at least
}

// Table holds the times of the recent runs of each route. Its zero value is ready; it is safe for
// concurrent use.
type Table struct {
	mu                sync.Mutex
	current, previous map[key]*times
	since             time.Time // start of current
}

type key struct {
	route string
	basis basis
}

// times are those of the runs of a route whose sizes have one basis, as logarithms of nanoseconds.
// With unsized they are those of all runs.
type times struct {
	longest time.Duration // of total, also of runs that were not complete
	total   fit
	first   fit // until the first byte
	rest    fit // of a stream, after it
}

func (t *times) merge(o *times) {
	t.longest = max(t.longest, o.longest)
	t.total.merge(o.total)
	t.first.merge(o.first)
	t.rest.merge(o.rest)
}

// Record adds a run.
func (t *Table) Record(now time.Time, route string, r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	all := t.of(key{route, unsized})
	all.longest = max(all.longest, r.Total)
	add(&all.total, 0, r.Total, r.Complete)
	b, tokens := r.Size.basis()
	if b == unsized || r.First <= 0 {
		return
	}
	sized := t.of(key{route, b})
	add(&sized.first, 0, r.First, r.Complete)
	if gaps := r.Events - 1; gaps > 0 {
		rest := float64(r.Total-r.First) * float64(r.Events) / float64(gaps)
		add(&sized.rest, math.Log(tokens), time.Duration(rest), r.Complete)
	}
}

// of returns the times under a key. The caller holds t.mu.
func (t *Table) of(k key) *times {
	s := t.current[k]
	if s == nil {
		s = &times{}
		t.current[k] = s
	}
	return s
}

// add adds a time to f. One that was cut short counts only if it shows that times are longer.
func add(f *fit, x float64, d time.Duration, complete bool) {
	y := math.Log(float64(max(d, time.Microsecond)))
	if complete || f.n > 0 && y > f.predict(x) {
		f.add(x, y)
	}
}

// Bound returns the time that the next request of the route takes at most, but for one in a thousand. It
// returns false if nothing was seen of the route.
func (t *Table) Bound(now time.Time, route string, size Size) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	b, tokens := size.basis()
	if s := t.recent(key{route, b}); b != unsized && s.first.n > 0 && s.rest.n > 0 {
		x := math.Log(tokens)
		first, rest := math.Exp(s.first.predict(0)), math.Exp(s.rest.predict(x))
		margin := math.Hypot(math.Exp(s.first.upper(0))-first, math.Exp(s.rest.upper(x))-rest)
		return duration(first + rest + margin), true
	}
	s := t.recent(key{route, unsized})
	if s.total.n == 0 {
		return 0, false
	}
	return max(s.longest, duration(math.Exp(s.total.upper(0)))), true
}

// duration returns ns as a duration, or a very long one.
func duration(ns float64) time.Duration { return time.Duration(min(ns, float64(24*time.Hour))) }

// recent returns the times of both generations under a key. The caller holds t.mu.
func (t *Table) recent(k key) times {
	var s times
	for _, generation := range []map[key]*times{t.current, t.previous} {
		if g := generation[k]; g != nil {
			s.merge(g)
		}
	}
	return s
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
	t.current, t.since = make(map[key]*times), now
}
