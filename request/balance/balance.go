package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is what is known of an endpoint that may get the request.
type Candidate struct {
	ID          string
	Running     float64       // requests of all routers that run or wait there, as far as known
	Slots       int           // requests that it runs at once
	Limit       float64       // largest number of running and waiting requests, this one included; 0 is no limit
	Latency     time.Duration // smoothed time to first byte; 0 is unknown
	RateLimited bool          // it takes a limited number of requests a second
	Local       bool          // in the router's availability zone
	Slow        bool          // much slower than its peers
	KeyCached   bool          // it had the last requests with the key and so caches what they share
}

// Bound limits how far an endpoint's running requests may exceed the mean.
type Bound struct {
	Factor float64 // multiple of the mean of the candidates
	Extra  float64 // requests added to that
	// Stale means that the counts are older than the duration of most requests. Routers
	// that all chose the least loaded endpoint would then overload it together, so each picks
	// at random among those in the bound that cache the key, or compares two at random.
	Stale bool
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

// full reports whether one more request would exceed the limit.
func (c *Candidate) full() bool { return c.Limit > 0 && c.Running+1 > c.Limit }

// RendezvousWeight returns the rendezvous weight of an endpoint for a key, mixed
// by the finalizer of MurmurHash3. The highest weight comes first.
func RendezvousWeight(key uint64, id string) uint64 {
	x := key ^ xxhash.Sum64String(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Affinity returns the index of the candidate for a key, or -1 if all are full. Of those that
// are within the bound and neither slow nor full, it takes the least loaded that caches the key
// (a random one if the counts are stale) or, if no candidate at all caches it, the first by
// rendezvous weight; else leastLoaded decides. maxRunning is as in Bound.limit. draw is in [0,1).
func Affinity(key uint64, list []Candidate, bound Bound, maxRunning float64, draw func() float64) int {
	limit := bound.limit(list, maxRunning)
	cached, holder, heaviest, holders := false, -1, -1, 0
	var best uint64
	for i := range list {
		c := &list[i]
		cached = cached || c.KeyCached
		if c.Slow || c.Running+1 > limit || c.full() {
			continue
		}
		if c.KeyCached {
			holders++
			if holder < 0 || bound.replaces(c, &list[holder], holders, draw) {
				holder = i
			}
		}
		if weight := RendezvousWeight(key, c.ID); heaviest < 0 || weight > best {
			heaviest, best = i, weight
		}
	}
	switch {
	case holder >= 0:
		return holder
	case !cached && heaviest >= 0:
		return heaviest
	}
	return leastLoaded(list, bound.Stale, draw)
}

// replaces reports whether c, the nth candidate that caches the key, replaces the
// one chosen so far.
func (b Bound) replaces(c, chosen *Candidate, nth int, draw func() float64) bool {
	if b.Stale {
		return draw()*float64(nth) < 1 // reservoir sampling: all are equally likely
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

// randomChoices is the number of random candidates compared while counts are stale.
const randomChoices = 2

func leastLoaded(list []Candidate, stale bool, draw func() float64) int {
	best, rounds := -1, len(list)
	if stale {
		rounds = min(randomChoices, len(list))
	}
	for n := range rounds {
		i := n
		if stale {
			i = min(int(draw()*float64(len(list))), len(list)-1)
		}
		if !list[i].full() && (best < 0 || lessLoaded(&list[i], &list[best])) {
			best = i
		}
	}
	if best < 0 && stale {
		return leastLoaded(list, false, draw) // all drawn candidates are full
	}
	return best
}

func lessLoaded(a, b *Candidate) bool {
	if a.Slow != b.Slow {
		return b.Slow
	}
	return a.Running < b.Running
}

const (
	// unknownLatency is assumed for an endpoint without a response yet, so that it
	// gets requests soon.
	unknownLatency = 10 * time.Millisecond
	// remotePenalty is added for an endpoint in another availability zone. It
	// stands for the round trip and the cost of traffic between zones.
	remotePenalty = 4 * time.Millisecond
)

// ShortestExpectedTime returns the index of the candidate that is expected to respond
// first, or -1 if all are full. draw in [0,1) breaks ties, three or more unevenly.
func ShortestExpectedTime(list []Candidate, draw float64) int {
	best, ties := -1, 0
	var bestCost time.Duration
	for i := range list {
		if list[i].full() {
			continue
		}
		cost := expectedTime(&list[i])
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

func expectedTime(c *Candidate) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	utilization := 0.0
	if c.Slots > 0 {
		utilization = c.Running / float64(c.Slots)
	}
	cost := time.Duration(float64(latency) * (1 + 2*utilization))
	if !c.Local {
		cost += remotePenalty
	}
	if c.Slow {
		cost *= 4
	}
	return cost
}
