package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// minRatioEvents is the least length of a stream that shows how many tokens an event holds.
	minRatioEvents = 8
	// minRatios is the least number of these streams.
	minRatios = 20
	// ratioErrors is the number of standard errors by which the tokens of an event may be fewer than learned.
	ratioErrors = 2
	// longestQuantile is the share of streams that are no slower than the longest one is taken to be.
	longestQuantile = 0.9
)

// ratio returns the logarithm of the tokens that an event of a run held, if its caller's estimate was right.
func (r *Run) ratio() (float64, bool) {
	if !r.Complete || r.Events < minRatioEvents || r.Size.Expected <= 0 {
		return 0, false
	}
	return math.Log(float64(r.Size.Expected) / float64(r.Events)), true
}

// tokensPerEvent returns the least number of tokens that an event holds by the logarithms of such ratios. Estimates are right at the
// median.
func tokensPerEvent(ratios []float64) (float64, bool) {
	if len(ratios) < minRatios {
		return 0, false
	}
	const deviation = 0.34 // share of a normal distribution between its mean and one standard deviation
	spread := (quantileOf(ratios, 0.5+deviation) - quantileOf(ratios, 0.5-deviation)) / 2
	medianError := math.Sqrt(math.Pi/2/float64(len(ratios))) * spread
	return math.Exp(quantileOf(ratios, 0.5) - ratioErrors*medianError), true
}

// firstEvents returns the logarithms of the times until the first events of complete streams, and the tokens of the largest of their prompts.
func firstEvents(points []point) (times []float64, prompt int) {
	for _, p := range points {
		if p.complete && p.events > 0 {
			times, prompt = append(times, p.y+math.Log1p(-p.events)), max(prompt, p.prompt)
		}
	}
	return times, prompt
}

// Longest returns the time of a stream of the route that has all the output that it may have, at the speed at which its
// service is now. It returns false if too little is known, or if a run in progress shows that it does not hold.
func (t *Table) Longest(now time.Time, route, service string, size Size) (time.Duration, bool) {
	whole, _, ok := t.longest(now, route, service, size)
	return whole, ok
}

// longest is Longest with the part of the time after the first event. It returns false if too little is known, or if a run in progress
// shows that it does not hold.
func (t *Table) longest(now time.Time, route, service string, size Size) (whole, rest time.Duration, ok bool) {
	if size.Most <= 0 {
		return 0, 0, false
	}
	basis := kind{route, size.bases()[0]}
	firsts, prompt := firstEvents(t.ended(now, basis))
	ratios, intervals := t.recent(source{service, route})
	perEvent, ok := tokensPerEvent(ratios)
	if !ok || len(intervals) == 0 || len(firsts) == 0 {
		return 0, 0, false
	}
	first := math.Exp(quantileOf(firsts, longestQuantile)) * larger(size.Prompt, prompt)
	interval := math.Exp(quantileOf(intervals, longestQuantile)) * t.slowdown(now, service)
	others := interval * float64(min(size.Most, maxTokens)) / perEvent
	for _, p := range t.inProgress(now, basis) {
		if math.Exp(p.y) > first+others {
			return 0, 0, false
		}
	}
	return duration(first + others), duration(others), true
}

// recent returns the logarithms of the tokens of an event of a service's recent streams, and of the intervals of events of
// those of a route to it.
func (t *Table) recent(from source) (ratios, intervals []float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Concat(t.previous.ratios[from.service], t.current.ratios[from.service]), t.intervalsOf(from)
}
