package admission

import (
	"math"
	"time"
)

// meanSlack absorbs rounding errors in c*mean before it is rounded up.
const meanSlack = 1e-6

// meanMargin is the fraction of c held in reserve, since the mean is summed from
// reports of different times.
const meanMargin = 0.05

// withMargin returns the multiple that owners use. It stays above 1, so that a
// group whose endpoints are all full can grow.
func withMargin(c float64) float64 {
	return c - math.Min(meanMargin*c, (c-1)/2)
}

// meanCap returns the cap that follows from the mean of a group.
func meanCap(c, mean float64) int {
	return max(1, int(math.Ceil(c*mean-meanSlack)))
}

// share returns the part of a cap that an owner may use when counted of known
// routers are bound to it. A share of more than one half is rounded up and any
// other down, so that the shares of competing owners add up to at most the cap.
func share(capacity, counted, known int) int {
	if 2*counted > known {
		return (capacity*counted + known - 1) / known
	}
	return capacity * counted / max(known, 1)
}

// fraction is the fraction counted/known of the routers.
type fraction struct {
	counted, known int
}

func (f fraction) less(g fraction) bool {
	return f.counted*max(g.known, 1) < g.counted*max(f.known, 1)
}

// increase is a fraction and the time since which it is reached.
type increase struct {
	at time.Time
	f  fraction
}

// coverage tracks the fraction of the routers that an owner may use. When more
// routers become bound to it, permits of earlier owners may still be in use; the
// larger fraction counts only after a load report that shows them.
type coverage struct {
	current   fraction
	covered   fraction
	increases []increase // larger than covered, ascending, oldest first
}

// observe records the current fraction.
func (c *coverage) observe(now time.Time, f fraction) {
	if f == c.current {
		return
	}
	if f.less(c.covered) {
		c.covered = f
	}
	since := now
	for i, r := range c.increases {
		if !r.f.less(f) {
			since = r.at // the fraction has been at least f since then
			c.increases = c.increases[:i]
			break
		}
	}
	if c.covered.less(f) {
		c.increases = append(c.increases, increase{at: since, f: f})
	} else {
		c.covered = f // an equal fraction of another number of routers
	}
	c.current = f
}

// confirm records a load report that shows all work admitted by others until the
// given time. It returns the fraction covered before and whether a larger one is
// covered now.
func (c *coverage) confirm(until time.Time) (before fraction, increased bool) {
	before = c.covered
	for len(c.increases) > 0 && !c.increases[0].at.After(until) {
		c.covered = c.increases[0].f
		c.increases = c.increases[1:]
		increased = true
	}
	return before, increased
}
