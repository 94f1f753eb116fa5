package engine

import "time"

// warmth is the true capacity of an engine, which rises from its cold to its
// full value with the work that it completes.
type warmth struct {
	cold, full int
	slowdown   float64 // of a cold engine
	after      int     // completed requests until full
	done       int     // completed since the engine turned cold
	since      time.Time
	announced  bool // whether the boot number told of it
}

func newWarmth(options Options, now time.Time) warmth {
	w := warmth{
		cold: options.ColdCapacity, full: options.Capacity,
		slowdown: options.ColdSlowdown, after: options.WarmAfter,
	}
	w.reset(now, true)
	return w
}

func (w *warmth) reset(now time.Time, announced bool) {
	w.done = 0
	w.since = now
	w.announced = announced
}

// capacity returns the number of requests that the engine bears now.
func (w *warmth) capacity() int {
	if w.done >= w.after {
		return w.full
	}
	return w.cold + (w.full-w.cold)*w.done/w.after
}

// stretch returns how long work takes now that takes d on the warm engine.
func (w *warmth) stretch(d time.Duration) time.Duration {
	if w.done >= w.after {
		return d
	}
	left := 1 - float64(w.done)/float64(w.after)
	return time.Duration(float64(d) * (1 + (w.slowdown-1)*left))
}
