package measure

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// baseline is a policy without admission: requests go to an endpoint at once
// and wait there, first in first out.
type baseline struct {
	f    *fleet
	pick func(b *baseline, r *request, usable []*endpoint) *endpoint

	turn   []int   // round robin, by router
	counts [][]int // requests in progress, by router and endpoint
}

func newBaseline(pick func(*baseline, *request, []*endpoint) *endpoint) func(*fleet) policy {
	return func(f *fleet) policy {
		b := &baseline{f: f, pick: pick, turn: make([]int, f.workload.Routers)}
		for range f.workload.Routers {
			b.counts = append(b.counts, make([]int, len(f.ends)))
		}
		return b
	}
}

// baselines returns all baselines.
func baselines() []policyMaker {
	return []policyMaker{
		{"random", newBaseline(pickRandom)},
		{"round_robin", newBaseline(pickRoundRobin)},
		{"power_of_two", newBaseline(pickPowerOfTwo)},
		{"rendezvous", newBaseline(pickRendezvous)},
		{"bounded_hash", newBaseline(pickBounded)},
	}
}

func (b *baseline) arrive(r *request) {
	var usable []*endpoint
	for _, i := range b.f.snapshot.GroupEndpoints(r.kind.Group()) {
		if e := b.f.ends[i]; e.gate.usable() {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		b.f.refuse(r)
		return
	}
	e := b.pick(b, r, usable)
	b.counts[r.router][e.index]++
	b.f.loop.after(hop, func() { b.enter(e, r) })
}

// enter starts r at e or lets it wait there.
func (b *baseline) enter(e *endpoint, r *request) {
	b.f.stats.entered(e)
	if e.running >= e.config.Capacity {
		e.queue = append(e.queue, r)
		return
	}
	b.start(e, r)
}

func (b *baseline) start(e *endpoint, r *request) {
	b.f.dispatch(r, e, nil, func(time.Duration) {
		b.counts[r.router][e.index]--
		b.startNext(e)
	})
}

// startNext starts the request that has waited longest, if its caller is
// still there.
func (b *baseline) startNext(e *endpoint) {
	for len(e.queue) > 0 && e.running < e.config.Capacity {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if b.f.loop.now.After(r.deadline) {
			b.counts[r.router][e.index]--
			b.f.refuse(r)
			continue
		}
		b.start(e, r)
	}
}

func (b *baseline) done(*request, *endpoint) {}

func pickRandom(b *baseline, _ *request, usable []*endpoint) *endpoint {
	return usable[b.f.rng.IntN(len(usable))]
}

func pickRoundRobin(b *baseline, r *request, usable []*endpoint) *endpoint {
	b.turn[r.router]++
	return usable[b.turn[r.router]%len(usable)]
}

// pickPowerOfTwo takes the one of two random endpoints that reported the
// smaller load.
func pickPowerOfTwo(b *baseline, _ *request, usable []*endpoint) *endpoint {
	first := usable[b.f.rng.IntN(len(usable))]
	second := usable[b.f.rng.IntN(len(usable))]
	if second.lagged() < first.lagged() {
		return second
	}
	return first
}

func keyOf(r *request) uint64 {
	if r.chat != nil {
		return uint64(r.chat.key)
	}
	return r.id * 0x9e3779b97f4a7c15
}

func hashOf(key uint64, e *endpoint) uint64 {
	x := key ^ xxhash.Sum64String(e.config.Name)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func pickRendezvous(_ *baseline, r *request, usable []*endpoint) *endpoint {
	key := keyOf(r)
	return slices.MaxFunc(usable, func(x, y *endpoint) int { return compareHash(key, x, y) })
}

func compareHash(key uint64, x, y *endpoint) int {
	if hashOf(key, x) < hashOf(key, y) {
		return -1
	}
	return 1
}

// pickBounded takes the first endpoint by hash whose requests from this router
// are below the bound of consistent hashing with bounded loads.
func pickBounded(b *baseline, r *request, usable []*endpoint) *endpoint {
	counts := b.counts[r.router]
	total := 1
	for _, e := range usable {
		total += counts[e.index]
	}
	bound := int(math.Ceil(meanMultiple * float64(total) / float64(len(usable))))
	var best *endpoint
	key := keyOf(r)
	for _, e := range usable {
		if counts[e.index] >= bound {
			continue
		}
		if best == nil || compareHash(key, e, best) > 0 {
			best = e
		}
	}
	return best
}
