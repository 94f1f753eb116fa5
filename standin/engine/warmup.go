package engine

import "time"

// warmup is the true capacity of an engine. It rises from cold to full with the
// number of completed requests.
type warmup struct {
	cold, full int
	slowdown   float64 // of a cold engine
	warmAfter  int     // completed requests until full
	completed  int     // since the engine turned cold
	since      time.Time
	announced  bool // by a new incarnation
}

func newWarmup(options Options, now time.Time) warmup {
	w := warmup{
		cold: options.ColdCapacity, full: options.Capacity,
		slowdown: options.ColdSlowdown, warmAfter: options.WarmAfter,
	}
	w.reset(now, true)
	return w
}

func (w *warmup) reset(now time.Time, announced bool) {
	w.completed = 0
	w.since = now
	w.announced = announced
}

// capacity returns the number of requests that the engine can compute now.
func (w *warmup) capacity() int {
	if w.completed >= w.warmAfter {
		return w.full
	}
	return w.cold + (w.full-w.cold)*w.completed/w.warmAfter
}

// slowed returns the current duration of work that takes d on a warm engine.
func (w *warmup) slowed(d time.Duration) time.Duration {
	if w.completed >= w.warmAfter {
		return d
	}
	coldShare := 1 - float64(w.completed)/float64(w.warmAfter)
	return time.Duration(float64(d) * (1 + (w.slowdown-1)*coldShare))
}
