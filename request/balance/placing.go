package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is what is known of one endpoint that may be used.
type Candidate struct {
	ID        string
	Running   float64       // requests that it runs for all routers, as far as known
	Slots     int           // that it runs at once
	Limit     float64       // most requests, running and waiting, for this one to be taken; 0 is no limit
	Latency   time.Duration // smoothed time to the first byte; 0 is unknown
	Local     bool          // in the router's availability zone
	Slow      bool          // much slower than its peers
	KeyCached bool          // had the last requests of the key, so that it caches their parts
}

// Bound is how far an endpoint's running requests may lie above the mean.
type Bound struct {
	Factor float64 // times the mean of the candidates
	Extra  float64 // requests on top
	// Stale says that the counts are older than most requests last. Routers that all
	// chose the least loaded endpoint would then overload it together; each draws
	// among those within the bound instead.
	Stale bool
}

// limit returns the most requests that an endpoint may run. most bounds it
// from outside; 0 does not.
func (b Bound) limit(list []Candidate, most float64) float64 {
	limit := mean(list)*b.Factor + b.Extra
	if most > 0 {
		limit = min(limit, most)
	}
	return limit
}

// full reports whether one more request would be over the limit.
func (c *Candidate) full() bool { return c.Limit > 0 && c.Running+1 > c.Limit }

// RendezvousWeight returns the rendezvous weight of an endpoint for a key; the highest is
// first.
func RendezvousWeight(key uint64, id string) uint64 {
	x := key ^ xxhash.Sum64String(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Affinity returns the index of the candidate for a key: the least loaded of
// those that hold the key and are within the bound; without a holder the first
// by rendezvous hashing within the bound; otherwise the least loaded. It returns
// -1 if all candidates are full. draw returns numbers in [0,1).
func Affinity(key uint64, list []Candidate, bound Bound, most float64, draw func() float64) int {
	limit := bound.limit(list, most)
	held, holder, ranked, holders := false, -1, -1, 0
	var best uint64
	for i := range list {
		c := &list[i]
		held = held || c.KeyCached
		if c.Slow || c.Running+1 > limit || c.full() {
			continue
		}
		if c.KeyCached {
			holders++
			if holder < 0 || bound.prefers(c, &list[holder], holders, draw) {
				holder = i
			}
		}
		if rank := RendezvousWeight(key, c.ID); ranked < 0 || rank > best {
			ranked, best = i, rank
		}
	}
	switch {
	case holder >= 0:
		return holder
	case !held && ranked >= 0:
		return ranked
	}
	return leastRunning(list, bound.Stale, draw)
}

// prefers reports whether c, the nth of its kind, goes before the chosen one.
func (b Bound) prefers(c, chosen *Candidate, nth int, draw func() float64) bool {
	if b.Stale {
		return draw()*float64(nth) < 1 // each is as likely
	}
	return c.Running < chosen.Running
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

// draws is how many candidates compete for work that its holders have no room
// for, where the counts are old.
const draws = 2

func leastRunning(list []Candidate, old bool, draw func() float64) int {
	best, rounds := -1, len(list)
	if old {
		rounds = min(draws, len(list))
	}
	for n := range rounds {
		i := n
		if old {
			i = min(int(draw()*float64(len(list))), len(list)-1)
		}
		if !list[i].full() && (best < 0 || better(&list[i], &list[best])) {
			best = i
		}
	}
	if best < 0 && old {
		return leastRunning(list, false, draw) // those drawn are full
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
// short request first, or -1 if all are full. draw in [0,1) breaks ties.
func LeastBusy(list []Candidate, draw float64) int {
	best, ties := -1, 0
	var bestCost time.Duration
	for i := range list {
		if list[i].full() {
			continue
		}
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
