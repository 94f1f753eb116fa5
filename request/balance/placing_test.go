package balance

import (
	"fmt"
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
	c.Assert(Affinity(7, held, bound, 0, half), qt.Equals, 3) // the less loaded holder
	held[3].Slow = true
	c.Assert(Affinity(7, held, bound, 0, half), qt.Not(qt.Equals), 3)
	c.Assert(Affinity(7, held, bound, 2, half), qt.Not(qt.Equals), 0) // over the bound from outside
}

// Routers spread new keys evenly and agree on their endpoints; when an endpoint
// goes only its keys move.
func TestRendezvousMovesOnlyWhatItMust(t *testing.T) {
	c := qt.New(t)
	all := candidates(0, 0, 0, 0, 0, 0, 0, 0)
	bound := Bound{Factor: 1.5, Extra: 1}
	counts := make(map[string]int)
	for key := range uint64(8000) {
		was := all[Affinity(key, all, bound, 0, half)].ID
		counts[was]++
		if is := all[Affinity(key, all[:7], bound, 0, half)].ID; was != "e7" {
			c.Assert(is, qt.Equals, was)
		}
	}
	for id, n := range counts {
		c.Assert(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
}

func TestLeastBusy(t *testing.T) {
	c := qt.New(t)
	c.Assert(LeastBusy(nil, 0), qt.Equals, -1)
	list := candidates(0, 0, 0)
	list[0].Latency, list[1].Latency, list[2].Latency = 20*time.Millisecond, 20*time.Millisecond, 120*time.Millisecond
	list[1].Local = true
	c.Assert(LeastBusy(list, 0), qt.Equals, 1)
	list[1].Running = 64
	c.Assert(LeastBusy(list, 0), qt.Equals, 0)
	list[0].Slow = true
	list[1].Slow = true
	list[2].Latency = 50 * time.Millisecond
	c.Assert(LeastBusy(list, 0), qt.Equals, 2)
}

// The load that placing answers for: few keys with long prompts and many with
// short ones, engines that start and stop. Each way is played on the same
// requests; a caller's wait is the prompt that is read plus its share of a busy
// engine.
func TestPlacingOnChurn(t *testing.T) {
	c := qt.New(t)
	bound := Bound{Factor: 1.7, Extra: 2.2}
	stay := play(func(key uint64, list []Candidate, draw func() float64) int {
		return Affinity(key, list, bound, 0, draw)
	})
	hashed := play(func(key uint64, list []Candidate, draw func() float64) int {
		plain := append([]Candidate(nil), list...)
		for i := range plain {
			plain[i].KeyCached = false
		}
		return Affinity(key, plain, bound, 0, draw)
	})
	least := play(func(_ uint64, list []Candidate, draw func() float64) int { return LeastBusy(list, draw()) })
	t.Logf("tokens read again: stay with holders %d, rendezvous %d, least busy %d", stay.again, hashed.again, least.again)
	t.Logf("busiest engine over the mean: %.2f, %.2f, %.2f", stay.skew, hashed.skew, least.skew)
	c.Assert(stay.again < hashed.again, qt.IsTrue)
	c.Assert(hashed.again < least.again/2, qt.IsTrue)
	c.Assert(stay.skew < 2.2, qt.IsTrue)
}

type played struct {
	again int     // tokens of shared parts that some engine had read before
	skew  float64 // the most requests at an engine, over the mean, once under load
}

// play runs 6,000 requests over 9 engines of which one is replaced at times.
func play(choose func(key uint64, list []Candidate, draw func() float64) int) played {
	const (
		engines  = 9
		keys     = 120
		requests = 6000
		lasts    = 40 // requests that arrive while one runs
		replaced = 700
	)
	seed := uint64(1)
	next := func() uint64 { seed = seed*6364136223846793005 + 1442695040888963407; return seed >> 33 }
	draw := func() float64 { return float64(next()%1000) / 1000 }
	list := candidates(make([]float64, engines)...)
	holds := make([]map[uint64]bool, engines)
	for i := range holds {
		holds[i] = make(map[uint64]bool)
	}
	ends := make(map[int][]int)
	read := make(map[uint64]bool)
	var out played
	for n := range requests {
		for _, i := range ends[n] {
			list[i].Running = max(0, list[i].Running-1)
		}
		if n%replaced == replaced-1 {
			i := int(next() % engines)
			list[i] = Candidate{ID: fmt.Sprintf("new%d", n), Slots: 64}
			holds[i] = make(map[uint64]bool)
		}
		key, tokens := next()%keys, 700
		if key%6 == 0 {
			tokens = 10_000
		}
		for i := range list {
			list[i].KeyCached = holds[i][key]
		}
		i := choose(key, list, draw)
		if !holds[i][key] && read[key] {
			out.again += tokens
		}
		holds[i][key], read[key] = true, true
		list[i].Running++
		ends[n+lasts] = append(ends[n+lasts], i)
		if n > requests/10 {
			out.skew = max(out.skew, list[i].Running/(mean(list)+1))
		}
	}
	return out
}

// The load that old counts answer for: many routers that choose by the same
// counts of a second ago. Choosing the least loaded overloads it together.
func TestOldCountsDoNotHerd(t *testing.T) {
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
		for range 300 { // requests that arrive before the counts are told again
			now[Affinity(3, list, bound, 0, draw)]++
		}
		most := 0.0
		for _, n := range now {
			most = max(most, n)
		}
		return most
	}
	fresh, old := busiest(Bound{Factor: 2, Extra: 2}), busiest(Bound{Factor: 2, Extra: 2, Stale: true})
	t.Logf("busiest of 100 after 300 requests: least loaded %v, drawn %v", fresh, old)
	c.Assert(old < 20, qt.IsTrue)
	c.Assert(fresh > 100, qt.IsTrue)
}
