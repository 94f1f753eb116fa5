package measure

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// baseline is a policy without admission control: requests go to an endpoint at
// once and wait there in a FIFO queue.
type baseline struct {
	f    *fleet
	pick func(b *baseline, r *request, usable []*endpoint) *endpoint

	nextIndex  []int   // round robin, by router
	inProgress [][]int // requests in progress, by router and endpoint
}

func newBaseline(pick func(*baseline, *request, []*endpoint) *endpoint) func(*fleet) policy {
	return func(f *fleet) policy {
		b := &baseline{f: f, pick: pick, nextIndex: make([]int, f.workload.Routers)}
		for range f.workload.Routers {
			b.inProgress = append(b.inProgress, make([]int, len(f.endpoints)))
		}
		return b
	}
}

// baselines returns all baselines.
func baselines() []policyFactory {
	return []policyFactory{
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
		if e := b.f.endpoints[i]; e.admission.usable() {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		b.f.refuse(r)
		return
	}
	e := b.pick(b, r, usable)
	b.inProgress[r.router][e.index]++
	b.f.loop.after(hopDelay, func() { b.startOrQueue(e, r) })
}

// startOrQueue starts r at e, or queues it there if e is full.
func (b *baseline) startOrQueue(e *endpoint, r *request) {
	b.f.stats.countOverrunOnArrival(e)
	if e.running >= e.config.Capacity {
		e.queue = append(e.queue, r)
		return
	}
	b.start(e, r)
}

func (b *baseline) start(e *endpoint, r *request) {
	b.f.dispatch(r, e, nil, func(time.Duration) {
		b.inProgress[r.router][e.index]--
		b.startNext(e)
	})
}

// startNext starts queued requests in order while e has capacity. It refuses
// those whose deadline has passed.
func (b *baseline) startNext(e *endpoint) {
	for len(e.queue) > 0 && e.running < e.config.Capacity {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if b.f.loop.now.After(r.deadline) {
			b.inProgress[r.router][e.index]--
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
	b.nextIndex[r.router]++
	return usable[b.nextIndex[r.router]%len(usable)]
}

// pickPowerOfTwo returns the one of two random endpoints with the lower reported load.
func pickPowerOfTwo(b *baseline, _ *request, usable []*endpoint) *endpoint {
	first := usable[b.f.rng.IntN(len(usable))]
	second := usable[b.f.rng.IntN(len(usable))]
	if second.laggedLoad() < first.laggedLoad() {
		return second
	}
	return first
}

// keyOf returns the hash key: the chat or, for requests without one, their scrambled ID.
func keyOf(r *request) uint64 {
	if r.chat != nil {
		return uint64(r.chat.key)
	}
	return r.id * 0x9e3779b97f4a7c15
}

// hashOf returns the rendezvous weight of e for key. The mixing is that of SplitMix64.
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

// pickBounded implements consistent hashing with bounded loads, by the requests
// of this router: it returns the endpoint of highest rank below the bound.
func pickBounded(b *baseline, r *request, usable []*endpoint) *endpoint {
	counts := b.inProgress[r.router]
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
