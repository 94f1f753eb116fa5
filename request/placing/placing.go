package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is what is known of one endpoint that may be used.
type Candidate struct {
	ID      string
	Running float64       // requests that it runs for all routers, as far as known
	Slots   int           // that it runs at once
	Latency time.Duration // smoothed time to the first byte; 0 is unknown
	Local   bool          // in the router's availability zone
	Slow    bool          // much slower than its peers
	Cold    bool          // in a cold start
}

// Bound is how far an endpoint's running requests may lie above the mean.
type Bound struct {
	Factor float64 // times the mean of the candidates
	Extra  float64 // requests on top
}

// Rank returns the rendezvous weight of an endpoint for a key; the highest is
// first.
func Rank(key uint64, id string) uint64 {
	x := key ^ xxhash.Sum64String(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Affinity returns the index of the candidate for a key, and the index of the
// one that the key ranks first, which is likely to hold its cache entries.
// Both are -1 without candidates.
func Affinity(key uint64, list []Candidate, bound Bound) (chosen, first int) {
	limit := mean(list)*bound.Factor + bound.Extra
	chosen, first = -1, -1
	var chosenRank, firstRank uint64
	for i := range list {
		c := &list[i]
		rank := Rank(key, c.ID)
		if first < 0 || rank > firstRank {
			first, firstRank = i, rank
		}
		if c.Slow || c.Running+1 > limit || c.Slots > 0 && c.Running >= float64(c.Slots) {
			continue
		}
		if chosen < 0 || rank > chosenRank {
			chosen, chosenRank = i, rank
		}
	}
	if chosen < 0 {
		chosen = leastRunning(list)
	}
	return chosen, first
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

func leastRunning(list []Candidate) int {
	best := -1
	for i := range list {
		if best < 0 || better(&list[i], &list[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	if a.Slow != b.Slow {
		return b.Slow
	}
	return a.Running < b.Running
}

const (
	// unknownLatency stands for an endpoint that has not answered yet, so that it
	// is tried soon.
	unknownLatency = 10 * time.Millisecond
	// remotePenalty is added for an endpoint in another availability zone; it
	// covers the round trip and the price of the bytes between zones.
	remotePenalty = 4 * time.Millisecond
)

// LeastBusy returns the index of the candidate that is expected to answer a
// short request first, or -1. draw in [0,1) breaks ties.
func LeastBusy(list []Candidate, draw float64) int {
	best, ties := -1, 0
	var bestCost time.Duration
	for i := range list {
		cost := expected(&list[i])
		switch {
		case best < 0 || cost < bestCost:
			best, bestCost, ties = i, cost, 1
		case cost == bestCost:
			ties++
			if draw*float64(ties) < 1 {
				best = i
			}
		}
	}
	return best
}

func expected(c *Candidate) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	queue := 0.0
	if c.Slots > 0 {
		queue = c.Running / float64(c.Slots)
	}
	cost := time.Duration(float64(latency) * (1 + 2*queue))
	if !c.Local {
		cost += remotePenalty
	}
	if c.Slow {
		cost *= 4
	}
	return cost
}
