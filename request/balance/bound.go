package balance

import "math"

// Bound limits how far an endpoint's running requests may exceed the mean.
type Bound struct {
	Factor float64 // multiple of the mean of the candidates
	Extra  float64 // requests added to that
	// Stale is the fraction of the counted requests that have ended since they were counted: 0 for
	// exact counts, 1 if these are much older than requests last. All routers share the counts. The
	// older these are, the less a choice may depend on them, or all routers leave an endpoint
	// together and come back together.
	Stale float64
	// MaxHolderWait is the largest share of its objective that a request may wait behind prompts at an engine
	// that caches its key, MaxWait the same with the time to read its own at another engine. A MaxWait of 0 sets no bounds.
	MaxWait, MaxHolderWait float64
}

// Between returns the bound for counts of the given staleness, of which b holds for exact and old for
// outdated ones.
func (b Bound) Between(old Bound, stale float64) Bound {
	return Bound{Factor: b.Factor + stale*(old.Factor-b.Factor), Extra: b.Extra + stale*(old.Extra-b.Extra), Stale: stale}
}

// limit returns the largest number of requests that an endpoint may run.
// maxRunning is an additional upper bound; 0 is none.
func (b Bound) limit(list []Candidate, maxRunning float64) float64 {
	limit := mean(list)*b.Factor + b.Extra
	if maxRunning > 0 {
		limit = min(limit, maxRunning)
	}
	return limit
}

// admits reports whether one more request may go to a candidate.
func (b Bound) admits(c *Candidate, limit float64, draw func() float64) bool {
	return c.Running+1 <= limit || Admits(c.Running+1, limit, b.Stale, draw())
}

// Admits reports whether a request may go to an endpoint that has load requests with it. Over the limit
// none may if the counts are exact. If they are old, only the excess is turned away, as the other routers do
// the same. draw is a random number in [0,1).
func Admits(load, limit, stale, draw float64) bool {
	return load <= limit || stale > 0 && draw < math.Pow(limit/load, 1/evenness(stale))
}

func mean(list []Candidate) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for i := range list {
		sum += list[i].Running
	}
	return sum / float64(len(list))
}
