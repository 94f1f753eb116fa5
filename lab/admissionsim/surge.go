package admissionsim

import (
	"math"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// SurgeResult is the result of one admission policy while the request rate rose
// from half of Sizes.ArrivalRate to surgeFactor times ArrivalRate and fell again.
type SurgeResult struct {
	Policy        string  `json:"way"`
	Routers       int     `json:"routers"`
	Seed          uint64  `json:"seed"`
	Offered       int64   `json:"offered"`
	Served        int64   `json:"served"`
	Overruns      int     `json:"overruns"`
	WorstOverrun  int     `json:"worst_overrun"`
	OverMean      int64   `json:"over_mean"`
	WorstOverMean float64 `json:"worst_over_mean"`
	Invariants    int64   `json:"invariant_violations"`
	// UsedInSurge is the share of the capacity that was served in the surge.
	UsedInSurge float64 `json:"used_in_surge"`
}

const (
	surgeFactor = 3.0
	surgeTime   = 10 * time.Second
)

// Surge measures all policies in a surge, for each seed.
func Surge(sizes Sizes, seeds []uint64, workers int) []SurgeResult {
	results := make([]SurgeResult, len(policies())*len(seeds))
	p := pool.New().WithMaxGoroutines(workers)
	for i, factory := range policies() {
		for j, seed := range seeds {
			p.Go(func() { results[i*len(seeds)+j] = surge(factory, sizes, seed) })
		}
	}
	p.Wait()
	return results
}

func surge(factory policyFactory, sizes Sizes, seed uint64) SurgeResult {
	normalRate := sizes.ArrivalRate / 2
	s := NewSimulation(sizes, seed, factory.make)
	s.ArrivalRate = normalRate
	s.Fleet.Run(warmUp)
	s.StartTraffic()
	s.Fleet.Run(steadyTime)
	s.ArrivalRate = surgeFactor * sizes.ArrivalRate
	served := s.Served
	s.Fleet.Run(surgeTime)
	capacity := float64(sizes.Endpoints*sizes.Capacity) / sizes.ServiceTime.Seconds() * surgeTime.Seconds()
	r := SurgeResult{Policy: factory.name, Routers: sizes.Routers, Seed: seed}
	r.UsedInSurge = float64(s.Served-served) / capacity
	s.ArrivalRate = normalRate
	s.Fleet.Run(steadyTime)
	r.Offered, r.Served = s.Offered, s.Served
	r.Overruns, r.WorstOverrun = s.Overruns()
	r.OverMean, r.WorstOverMean = s.OverMean, math.Max(1, s.WorstOverMean)
	r.Invariants = s.Check.Total()
	return r
}
