package balance

import "math"

// work returns the load of an engine with the request, in units of the time that requests take at pace 1. Waits
// behind prompts raise it by the part of the objective that they take up, and so most for requests that are due soon.
func (c *Candidate) work() float64 {
	return (c.Running + 1 + c.readLoad) * c.paceFactor(1) * (1 + waitWeight*c.waitShare)
}

// paceFactor returns the pace to the power of exponent, or 1 if it is not known.
func (c *Candidate) paceFactor(exponent float64) float64 {
	if c.Pace == 0 {
		return 1
	}
	return math.Pow(c.Pace, exponent)
}

// paceExponent returns how strongly the pace counts in the expected time. With exact counts it counts in
// full, as the load that it moves shows at once. With old counts, endpoints that are almost idle are chosen by
// their expected time, and the more of their slots are busy, the nearer each share is to the endpoint's
// speed: all routers leaving a slow one would overload the others before the counts show it.
func paceExponent(list []Candidate, stale float64) float64 {
	running, slots := 0.0, 0
	for i := range list {
		if list[i].Slots > 0 {
			running += list[i].Running
			slots += list[i].Slots
		}
	}
	idle := 1.0
	if slots > 0 {
		idle = max(0, 1-running/float64(slots))
	}
	// The weights are the expected times to the power of -timeExponent at evenness 1.
	old := (1 + (timeExponent-1)*idle) / timeExponent
	even := evenness(stale)
	return 1 - even + even*old
}

// withinLimit returns chosen, the holder with the least work or -1, unless it is over the limit on requests and
// another holder is not: one with fewer requests may have more work.
func (b Bound) withinLimit(list []Candidate, chosen int, limit float64, draw func() float64) int {
	if chosen < 0 || list[chosen].Running+1 <= limit || list[chosen].Pace == 0 && b.MaxWait == 0 {
		return chosen
	}
	others := newPicker(evenness(b.Stale), draw)
	for i := range list {
		if c := &list[i]; c.KeyCached && !c.Slow && !c.Full && c.Running+1 <= limit {
			others.offer(i, c.work())
		}
	}
	if others.chosen < 0 {
		return chosen
	}
	return others.chosen
}
