package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func candidates(running ...float64) []Candidate {
	list := make([]Candidate, len(running))
	for i, r := range running {
		list[i] = Candidate{ID: fmt.Sprintf("e%d", i), Running: r, Slots: 64}
	}
	return list
}

func half() float64 { return 0.5 }

func TestAffinity(t *testing.T) {
	c := qt.New(t)
	bound := Bound{Factor: 1.5, Extra: 1}
	c.Assert(Affinity(1, nil, bound, 0, half), qt.Equals, -1)

	even := candidates(2, 2, 2, 2)
	first := Affinity(7, even, bound, 0, half)
	c.Assert(Affinity(7, candidates(2, 2, 2, 2, 2)[:4], bound, 0, half), qt.Equals, first)
	even[first].Running = 30 // far over the bound
	c.Assert(Affinity(7, even, bound, 0, half), qt.Not(qt.Equals), first)

	held := candidates(3, 1, 0, 2)
	held[0].KeyCached, held[3].KeyCached = true, true
	c.Assert(Affinity(7, held, bound, 0, half), qt.Equals, 3) // the less loaded one that caches the key
	held[3].Slow = true
	c.Assert(Affinity(7, held, bound, 0, half), qt.Not(qt.Equals), 3)
	c.Assert(Affinity(7, held, bound, 2, half), qt.Not(qt.Equals), 0) // over maxRunning
}

// New keys are spread evenly; removing an endpoint moves only its own keys.
func TestRemovedEndpointMovesOnlyItsKeys(t *testing.T) {
	c := qt.New(t)
	all := candidates(0, 0, 0, 0, 0, 0, 0, 0)
	bound := Bound{Factor: 1.5, Extra: 1}
	counts := make(map[string]int)
	for key := range uint64(8000) {
		before := all[Affinity(key, all, bound, 0, half)].ID
		counts[before]++
		if after := all[Affinity(key, all[:7], bound, 0, half)].ID; before != "e7" {
			c.Assert(after, qt.Equals, before)
		}
	}
	for id, n := range counts {
		c.Assert(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%s has %d of 8000 keys", id, n))
	}
}

func TestShortestExpectedTime(t *testing.T) {
	c := qt.New(t)
	c.Assert(ShortestExpectedTime(nil, 0, half), qt.Equals, -1)
	list := candidates(0, 0, 0)
	list[0].Latency, list[1].Latency, list[2].Latency = 20*time.Millisecond, 20*time.Millisecond, 120*time.Millisecond
	list[1].Local = true
	c.Assert(ShortestExpectedTime(list, 0, half), qt.Equals, 1)
	list[1].Running = 64
	c.Assert(ShortestExpectedTime(list, 0, half), qt.Equals, 0)
	list[0].Slow = true
	list[1].Slow = true
	list[2].Latency = 50 * time.Millisecond
	c.Assert(ShortestExpectedTime(list, 0, half), qt.Equals, 2)
}

// A few keys with long prompts and many with short ones, on engines that start and
// stop. Each policy is simulated on the same requests. Affinity must save most of
// the prompt reads without overloading single engines.
func TestAffinityUnderChurn(t *testing.T) {
	c := qt.New(t)
	bound := Bound{Factor: 1.7, Extra: 2.2}
	affinity := simulate(func(key uint64, list []Candidate, draw func() float64) int {
		return Affinity(key, list, bound, 0, draw)
	})
	hashed := simulate(func(key uint64, list []Candidate, draw func() float64) int {
		plain := append([]Candidate(nil), list...)
		for i := range plain {
			plain[i].KeyCached = false
		}
		return Affinity(key, plain, bound, 0, draw)
	})
	least := simulate(func(_ uint64, list []Candidate, draw func() float64) int { return ShortestExpectedTime(list, 0, draw) })
	t.Logf("tokens recomputed: affinity %d, rendezvous %d, shortest expected time %d", affinity.recomputed, hashed.recomputed, least.recomputed)
	t.Logf("busiest engine relative to the mean: %.2f, %.2f, %.2f", affinity.skew, hashed.skew, least.skew)
	c.Assert(affinity.recomputed < hashed.recomputed, qt.IsTrue)
	c.Assert(hashed.recomputed < least.recomputed/2, qt.IsTrue)
	c.Assert(affinity.skew < 2.2, qt.IsTrue)
}

type simulation struct {
	recomputed int     // tokens of shared parts that some engine had computed before
	skew       float64 // requests at the busiest engine, relative to the mean plus one, once under load
}

// simulate runs 6,000 requests on 9 engines, one of which is replaced at times.
func simulate(choose func(key uint64, list []Candidate, draw func() float64) int) simulation {
	const (
		engines        = 9
		keys           = 120
		requests       = 6000
		arrivalsPerRun = 40  // requests that arrive while one runs
		replaceEvery   = 700 // requests
	)
	seed := uint64(1)
	next := func() uint64 { seed = seed*6364136223846793005 + 1442695040888963407; return seed >> 33 }
	draw := func() float64 { return float64(next()%1000) / 1000 }
	list := candidates(make([]float64, engines)...)
	cached := make([]map[uint64]bool, engines)
	for i := range cached {
		cached[i] = make(map[uint64]bool)
	}
	ends := make(map[int][]int)
	computed := make(map[uint64]bool)
	var out simulation
	for n := range requests {
		for _, i := range ends[n] {
			list[i].Running = max(0, list[i].Running-1)
		}
		if n%replaceEvery == replaceEvery-1 {
			i := int(next() % engines)
			list[i] = Candidate{ID: fmt.Sprintf("new%d", n), Slots: 64}
			cached[i] = make(map[uint64]bool)
		}
		key, tokens := next()%keys, 700
		if key%6 == 0 {
			tokens = 10_000
		}
		for i := range list {
			list[i].KeyCached = cached[i][key]
		}
		i := choose(key, list, draw)
		if !cached[i][key] && computed[key] {
			out.recomputed += tokens
		}
		cached[i][key], computed[key] = true, true
		list[i].Running++
		ends[n+arrivalsPerRun] = append(ends[n+arrivalsPerRun], i)
		if n > requests/10 {
			out.skew = max(out.skew, list[i].Running/(mean(list)+1))
		}
	}
	return out
}

// Guards against herding: many routers that choose the least loaded endpoint by
// the same counts, a second old, overload it together.
func TestStaleCountsDoNotOverloadOneEndpoint(t *testing.T) {
	c := qt.New(t)
	busiest := func(bound Bound) float64 {
		seed := uint64(7)
		draw := func() float64 {
			seed = seed*6364136223846793005 + 1442695040888963407
			return float64(seed>>33) / (1 << 31)
		}
		list, now := candidates(make([]float64, 100)...), make([]float64, 100)
		for i := range list {
			list[i].KeyCached, list[i].Running = i < 40, draw()
		}
		for range 300 { // requests that arrive before the counts are updated
			now[Affinity(3, list, bound, 0, draw)]++
		}
		most := 0.0
		for _, n := range now {
			most = max(most, n)
		}
		return most
	}
	fresh, stale := busiest(Bound{Factor: 2, Extra: 2}), busiest(Bound{Factor: 2, Extra: 2, Stale: 1})
	t.Logf("busiest of 100 endpoints after 300 requests: least loaded %v, random %v", fresh, stale)
	c.Assert(stale < 20, qt.IsTrue)
	c.Assert(fresh > 100, qt.IsTrue)
}

// Guards against a bound that all routers apply at once: by old counts, the excess leaves an endpoint, not all.
func TestOnlyTheExcessLeavesAnEndpointByOldCounts(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 49))
	share := func(running, stale float64) float64 {
		list := candidates(make([]float64, 100)...)
		list[7].KeyCached, list[7].Running = true, running
		stayed := 0
		for range 4000 {
			if Affinity(3, list, Bound{Extra: 6, Stale: stale}, 0, rng.Float64) == 7 {
				stayed++
			}
		}
		return float64(stayed) / 4000
	}
	for _, test := range []struct{ running, stale, least, most float64 }{
		{4, 1, 1, 1}, {4, 0, 1, 1}, // within the bound
		{11, 1, 0.45, 0.55}, {59, 1, 0.08, 0.12}, // 6 of 12, of 60
		{11, 0.8, 0.23, 0.29}, {11, 0.5, 0, 0.01}, {11, 0, 0, 0},
	} {
		got := share(test.running, test.stale)
		c.Check(got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%v requests, staleness %v: %v", test.running, test.stale, got))
	}
}

// The endpoints that take a key's excess are as few as have the room, and the same for all routers.
func TestExcessGoesToFewEndpoints(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(2, 49))
	list := candidates(make([]float64, 100)...)
	list[7].KeyCached, list[7].Running = true, 65
	taken := make(map[int]int)
	for range 4000 {
		taken[Affinity(3, list, Bound{Extra: 6, Stale: 1}, 0, rng.Float64)]++
	}
	delete(taken, 7)
	c.Check(len(taken) >= 10 && len(taken) <= 13, qt.IsTrue, qt.Commentf("%d endpoints", len(taken))) // 60 at 5.35 each
}

// With exact counts the first to respond is chosen; by old ones each is, at times, the remote ones less often.
func TestOldCountsSpreadRequestsWithoutKey(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 49))
	list := candidates(0, 1, 1, 1, 1)
	for i := range list {
		list[i].Latency, list[i].Local = 8*time.Millisecond, i < 2
	}
	exact, old := make([]int, len(list)), make([]int, len(list))
	for range 5000 {
		exact[ShortestExpectedTime(list, 0, rng.Float64)]++
		old[ShortestExpectedTime(list, 1, rng.Float64)]++
	}
	c.Check(exact, qt.DeepEquals, []int{5000, 0, 0, 0, 0})
	c.Check(old[0] < 2500 && old[1] > 1000 && old[4] > 100, qt.IsTrue, qt.Commentf("%v", old))
	c.Check(old[0] > 2*old[4], qt.IsTrue, qt.Commentf("%v", old))
}
