package pace

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// recentParts is the number of the last parts of a response that show how fast it is now.
	recentParts = 6
	// minEvents is the least number of pauses between events that show how fast a response is.
	minEvents = 3
	// recentTime is how long a run that has ended counts among those that show how fast endpoints are now.
	recentTime = time.Second
)

// mark is a moment of a response.
type mark struct {
	at     time.Duration // from the beginning of the run
	events int           // until then
}

// pause is the time between two marks, and the events that ended it.
type pause struct {
	took   time.Duration
	events int
}

func (m mark) since(earlier mark) pause { return pause{m.at - earlier.at, m.events - earlier.events} }

// speed is how fast the events of a response come.
type speed struct {
	mu     sync.Mutex
	recent []mark // the last ones in order, at most recentParts
}

// add records that events of a response have come.
func (s *speed) add(m mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) == recentParts {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, m)
}

// progress returns the time until the last event.
func (s *speed) progress() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) == 0 {
		return 0
	}
	return s.recent[len(s.recent)-1].at
}

// interval returns the mean time between the last events in ns, without the longest pause, which may be a silence. It
// returns false if there are too few events.
func (s *speed) interval() (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var whole, longest pause
	for i := 1; i < len(s.recent); i++ {
		p := s.recent[i].since(s.recent[i-1])
		whole = pause{whole.took + p.took, whole.events + p.events}
		if p.took > longest.took {
			longest = p
		}
	}
	events := whole.events - longest.events
	if events < minEvents {
		return 0, false
	}
	return max(1, float64(whole.took-longest.took)/float64(events)), true
}

// quantileOf returns the value that a share of the values does not exceed. It sorts them.
func quantileOf(values []float64, share float64) float64 {
	slices.Sort(values)
	return values[max(1, int(math.Ceil(share*float64(len(values)))))-1]
}

// upperQuartile returns the upper quartile of values, which it sorts.
func upperQuartile(values []float64) float64 { return quantileOf(values, 0.75) }

// sources returns the streams with which a run is compared, the most telling first.
func (r *Running) sources() [2]source { return [...]source{{r.service, r.route}, {service: r.service}} }

// slowdown returns the factor by which the events of the streams of a service that are in progress are slower than those
// of the same routes were, or else of the same service; at least 1. One stream in four is at least so slow.
func (t *Table) slowdown(now time.Time, service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	known := make(map[source]float64)
	var slower []float64
	add := func(r *Running) {
		interval, ok := r.speed.interval()
		if !ok || r.service != service {
			return
		}
		if before, ok := t.intervalBefore(r, known); ok {
			slower = append(slower, math.Log(interval)-before)
		}
	}
	for r := range t.running {
		add(r)
	}
	for _, r := range t.justEnded {
		if now.Sub(r.ended) <= recentTime {
			add(r)
		}
	}
	if len(slower) == 0 {
		return 1
	}
	return max(1, math.Exp(upperQuartile(slower)))
}

// intervalBefore returns the logarithm of the interval of events that streams like a run had, and keeps it in
// known. It returns false if there were none. The caller holds t.mu.
func (t *Table) intervalBefore(r *Running, known map[source]float64) (float64, bool) {
	for _, from := range r.sources() {
		if before, ok := known[from]; ok {
			return before, true
		}
		if values := t.intervalsOf(from); len(values) > 0 {
			known[from] = upperQuartile(values)
			return known[from], true
		}
	}
	return 0, false
}

// intervalsOf returns the logarithms of the intervals of events of recent streams. The caller holds t.mu.
func (t *Table) intervalsOf(from source) []float64 {
	return slices.Concat(t.previous.intervals[from], t.current.intervals[from])
}
