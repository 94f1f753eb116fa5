package admission

import (
	"math"
	"time"
)

// meanSlack absorbs rounding errors in multiple*mean before it is rounded up.
const meanSlack = 1e-6

// meanMargin is the fraction of Limits.MeanMultiple held in reserve, since the mean
// is computed from loads of different times.
const meanMargin = 0.05

// withMargin returns the multiple of the mean that owners use. For a multiple above
// 1 it stays above 1, so that a group whose endpoints are all full can grow.
func withMargin(multiple float64) float64 {
	return multiple - math.Min(meanMargin*multiple, (multiple-1)/2)
}

// meanCap returns the cap of an endpoint: a multiple of the mean of its group.
func meanCap(multiple, mean float64) int {
	return max(1, int(math.Ceil(multiple*mean-meanSlack)))
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

// fraction is the part of the known routers that is bound to an owner.
type fraction struct {
	counted, known int
}

func (f fraction) less(g fraction) bool {
	return f.counted*max(g.known, 1) < g.counted*max(f.known, 1)
}

// increase is a fraction, and since when the current fraction has been at least as large.
type increase struct {
	at time.Time
	f  fraction
}

// fractionTracker tracks the fraction of the routers that an owner may use. When
// more routers become bound to it, permits of earlier owners may still be in use, so
// the larger fraction is used only after a load report that shows these permits.
type fractionTracker struct {
	current   fraction
	confirmed fraction
	increases []increase // larger than confirmed, ascending, oldest first
}

// observe records the current fraction. A larger one is used only after confirm.
func (t *fractionTracker) observe(now time.Time, f fraction) {
	if f == t.current {
		return
	}
	if f.less(t.confirmed) {
		t.confirmed = f
	}
	since := now
	for i, inc := range t.increases {
		if !inc.f.less(f) {
			since = inc.at // the fraction has been at least f since then
			t.increases = t.increases[:i]
			break
		}
	}
	if t.confirmed.less(f) {
		t.increases = append(t.increases, increase{at: since, f: f})
	} else {
		t.confirmed = f // an equal fraction of another number of routers
	}
	t.current = f
}

// confirm records a load report that shows all work admitted by others until the
// given time. It returns the fraction confirmed before and whether a larger one is
// confirmed now.
func (t *fractionTracker) confirm(until time.Time) (before fraction, increased bool) {
	before = t.confirmed
	for len(t.increases) > 0 && !t.increases[0].at.After(until) {
		t.confirmed = t.increases[0].f
		t.increases = t.increases[1:]
		increased = true
	}
	return before, increased
}
