package admission

import (
	"math"
	"time"
)

// meanSlack absorbs rounding in c*mean before it is rounded up.
const meanSlack = 1e-6

// meanMargin is the part of c that is kept back, since the mean is added up from
// reports of different moments.
const meanMargin = 0.05

// withMargin returns the multiple that owners work with. It stays above 1, so
// that a group that is full everywhere can grow.
func withMargin(c float64) float64 {
	return c - math.Min(meanMargin*c, (c-1)/2)
}

// meanCap is the cap that follows from the mean of the group.
func meanCap(c, mean float64) int {
	return max(1, int(math.Ceil(c*mean-meanSlack)))
}

// share is the part of a cap that an owner may use when counted of known
// routers are bound to it. More than one half rounds up and all else down, so
// that the shares of rival owners add up to at most the cap.
func share(capacity, counted, known int) int {
	if 2*counted > known {
		return (capacity*counted + known - 1) / known
	}
	return capacity * counted / max(known, 1)
}

// fraction is counted of known routers.
type fraction struct {
	counted, known int
}

func (f fraction) less(g fraction) bool {
	return f.counted*max(g.known, 1) < g.counted*max(f.known, 1)
}

// raise is a fraction that was reached at a time.
type raise struct {
	at time.Time
	f  fraction
}

// cover tracks which part of the routers an owner may rely on. When more
// routers become bound to it, permits of earlier owners may still be in use;
// the larger part counts only after a load report that shows them.
type cover struct {
	now     fraction
	covered fraction
	raises  []raise // larger than covered, rising, oldest first
}

// see notes the fraction at now.
func (c *cover) see(now time.Time, f fraction) {
	if f == c.now {
		return
	}
	if f.less(c.covered) {
		c.covered = f
	}
	since := now
	for i, r := range c.raises {
		if !r.f.less(f) {
			since = r.at // the part has been at least f since then
			c.raises = c.raises[:i]
			break
		}
	}
	if c.covered.less(f) {
		c.raises = append(c.raises, raise{at: since, f: f})
	} else {
		c.covered = f // the same part of another number
	}
	c.now = f
}

// report notes a load report that shows all work admitted by others up to the
// given time. It returns the part that was covered before and whether a larger
// part is covered now.
func (c *cover) report(shown time.Time) (before fraction, grown bool) {
	before = c.covered
	for len(c.raises) > 0 && !c.raises[0].at.After(shown) {
		c.covered = c.raises[0].f
		c.raises = c.raises[1:]
		grown = true
	}
	return before, grown
}
