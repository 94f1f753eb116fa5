package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is what is known of an endpoint that may get the request.
type Candidate struct {
	ID          string
	Running     float64       // requests of all routers that run or wait there, as far as known
	Slots       int           // requests that it runs at once
	Limit       float64       // largest number of running and waiting requests, this one included; 0 is no limit
	Full        bool          // it may not get the request because of Limit
	Latency     time.Duration // smoothed time to first byte at pace 1; 0 is unknown
	RateLimited bool          // it takes a limited number of requests a second
	Local       bool          // in the router's availability zone
	Slow        bool          // much slower than its peers
	Pace        float64       // expected time of the request's work there, as a multiple of the usual time; 0 if the service tells none
	Reading     float64       // prompt tokens that wait there to be read; 0 unless PromptWork is applied
	KeyCached   bool          // it had the last requests with the key and so caches what they share

	// Set by PromptWork.Apply.
	readLoad  float64       // Reading in requests
	wait      time.Duration // until Reading is read
	waitShare float64       // wait as a share of the request's objective
	readShare float64       // the time to read all of its prompt, as such a share
}

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

// Affinity returns the index of the candidate for a key, or -1 if all are full. It takes one that
// caches the key or, if none does, the first by rendezvous weight. Slow and full ones are passed
// over, and of the requests to one over the limit the excess goes to the next ones by rendezvous
// weight. maxRunning is as in Bound.limit. draw returns random numbers in [0,1).
func Affinity(key uint64, list []Candidate, bound Bound, maxRunning float64, draw func() float64) int {
	limit := bound.limit(list, maxRunning)
	holders := newPicker(evenness(bound.Stale), draw)
	for i := range list {
		if c := &list[i]; c.KeyCached && !c.Slow && !c.Full {
			holders.offer(i, c.work())
		}
	}
	excess := 0.0
	if chosen := bound.withinLimit(list, holders.chosen, limit, draw); chosen >= 0 {
		admitted := bound.admits(&list[chosen], limit, draw)
		if admitted && bound.holderWaits(&list[chosen], draw) {
			return chosen
		}
		excess = max(0, list[chosen].Running+1-limit)
		if admitted { // a second read is worth it only where the request begins earlier
			if other := newHolder(key, list, bound, limit, excess, draw); other >= 0 && list[other].wait < list[chosen].wait {
				return other
			}
			return chosen
		}
	}
	if chosen := newHolder(key, list, bound, limit, excess, draw); chosen >= 0 {
		return chosen
	}
	if bound.MaxWait > 0 { // the bound on requests comes first
		if chosen := newHolder(key, list, bound.withoutWaits(), limit, excess, draw); chosen >= 0 {
			return chosen
		}
	}
	return leastLoaded(list, bound.Stale, draw)
}

// newHolder returns the index of a candidate that does not cache the key, or -1. Routers agree by
// rendezvous weight on as few as take the excess requests without exceeding the limit.
func newHolder(key uint64, list []Candidate, bound Bound, limit, excess float64, draw func() float64) int {
	room := max(1, limit-mean(list))
	needed := 1 + int(min(excess/room, float64(len(list))))
	first := make([]ranked, 0, min(needed, len(list))+1)
	for i := range list {
		c := &list[i]
		if c.KeyCached || c.Slow || c.Full || !bound.admits(c, limit, draw) || !bound.newHolderWaits(c, draw) {
			continue
		}
		r := ranked{i, RendezvousWeight(key, c.ID)}
		at, _ := slices.BinarySearchFunc(first, r, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
		if at < needed {
			first = slices.Insert(first, at, r)
			first = first[:min(needed, len(first))]
		}
	}
	p := newPicker(evenness(bound.Stale), draw)
	for _, r := range first {
		p.offer(r.index, list[r.index].work())
	}
	return p.chosen
}

// ranked is a candidate with its rendezvous weight.
type ranked struct {
	index  int
	weight uint64
}

// leastLoaded returns the index of a candidate with few requests, or -1 if all are full. A slow one is
// taken only if no other is left.
func leastLoaded(list []Candidate, stale float64, draw func() float64) int {
	even := evenness(stale)
	sound, slow := newPicker(even, draw), newPicker(even, draw)
	for i := range list {
		switch c := &list[i]; {
		case c.Full:
		case c.Slow:
			slow.offer(i, c.Running+1)
		default:
			sound.offer(i, c.Running+1)
		}
	}
	if sound.chosen >= 0 {
		return sound.chosen
	}
	return slow.chosen
}

const (
	// unknownLatency is assumed for an endpoint without a response yet, so that it
	// gets requests soon.
	unknownLatency = 10 * time.Millisecond
	// remotePenalty is added for an endpoint in another availability zone. It
	// stands for the round trip and the cost of traffic between zones.
	remotePenalty = 4 * time.Millisecond
)

// timeExponent is how strongly the expected time decides if the counts are old. A request adds little
// to it, so that a power above one does not make the load of an endpoint swing.
const timeExponent = 3

// ShortestExpectedTime returns the index of a candidate that is expected to respond soon, or -1 if
// all are full. stale is as in Bound.
func ShortestExpectedTime(list []Candidate, stale float64, draw func() float64) int {
	p := newPicker(evenness(stale)/timeExponent, draw)
	exponent := paceExponent(list, stale)
	for i := range list {
		if !list[i].Full {
			p.offer(i, float64(expectedTime(&list[i], exponent)))
		}
	}
	return p.chosen
}

func expectedTime(c *Candidate, paceExponent float64) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	utilization := 0.0
	if c.Slots > 0 {
		utilization = c.Running / float64(c.Slots)
	}
	cost := time.Duration(float64(latency) * (1 + 2*utilization) * c.paceFactor(paceExponent))
	cost += c.wait
	if !c.Local {
		cost += remotePenalty
	}
	if c.Slow {
		cost *= 4
	}
	return cost
}
