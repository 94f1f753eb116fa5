package admissionsim

import (
	"math"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/stoatmount/stoatmount/lab/sim"
)

// HandoverResult is the result of one admission policy while owners changed.
type HandoverResult struct {
	Policy  string `json:"way"`
	Routers int    `json:"routers"`
	Seed    uint64 `json:"seed"`
	Offered int64  `json:"offered"`
	Served  int64  `json:"served"`
	Refused int64  `json:"refused"`
	// Overruns counts requests that reached a full endpoint, and WorstOverrun
	// is the largest number of requests beyond the capacity of one.
	Overruns     int `json:"overruns"`
	WorstOverrun int `json:"worst_overrun"`
	// OverMean counts requests that raised an endpoint's load above max(1,
	// ceil(MeanMultiple x mean)), with the largest mean of the last two seconds;
	// WorstOverMean is the largest load relative to that bound, at least 1.
	OverMean      int64   `json:"over_mean"`
	WorstOverMean float64 `json:"worst_over_mean"`
	Invariants    int64   `json:"invariant_violations"`
	// The shares of the offered requests that were served before, during and
	// after the faults.
	ServedBefore float64 `json:"served_before"`
	ServedDuring float64 `json:"served_during"`
	ServedAfter  float64 `json:"served_after"`
}

// policyFactory creates a policy; name is that of the policy in the results.
type policyFactory struct {
	name string
	make func(*Simulation) Policy
}

// policies returns the policy of the product first, then the baselines.
func policies() []policyFactory {
	return []policyFactory{
		{"owner with promised shares", NewOwners},
		{"owner that waits out permits", NewLeaseWait},
		{"share of the cap per router", NewShares},
		{"least loaded by lagged reports", NewLeastLoaded},
		{"power of two choices", NewTwoChoices},
		{"bounded load per router", NewBounded},
	}
}

// PolicyNames returns the names of the measured policies, the product's first.
func PolicyNames() []string {
	var names []string
	for _, p := range policies() {
		names = append(names, p.name)
	}
	return names
}

// Phases of the runs of handovers, cold starts and surges.
const (
	warmUp     = 12 * time.Second // without traffic
	steadyTime = 10 * time.Second // with traffic, without faults
	faultsTime = 40 * time.Second
	afterTime  = 10 * time.Second // measured, after settleTime
	settleTime = 40 * time.Second // after the faults, not measured
)

// Handover measures all policies at the given size while routers flap, for
// each seed. Runs are independent and use up to workers goroutines.
func Handover(sizes Sizes, seeds []uint64, workers int) []HandoverResult {
	results := make([]HandoverResult, len(policies())*len(seeds))
	p := pool.New().WithMaxGoroutines(workers)
	for i, factory := range policies() {
		for j, seed := range seeds {
			p.Go(func() { results[i*len(seeds)+j] = handover(factory, sizes, seed) })
		}
	}
	p.Wait()
	return results
}

func handover(p policyFactory, sizes Sizes, seed uint64) HandoverResult {
	s := NewSimulation(sizes, seed, p.make)
	s.Fleet.Run(warmUp)
	s.StartTraffic()
	s.Fleet.Run(steadyTime / 2) // not measured
	r := HandoverResult{Policy: p.name, Routers: sizes.Routers, Seed: seed}
	r.ServedBefore = s.servedShare(steadyTime)
	s.flap(faultsTime)
	r.ServedDuring = s.servedShare(faultsTime)
	s.Fleet.Run(settleTime)
	r.ServedAfter = s.servedShare(afterTime)
	r.Offered, r.Served, r.Refused = s.Offered, s.Served, s.Refused
	r.Overruns, r.WorstOverrun = s.Overruns()
	r.OverMean, r.WorstOverMean = s.OverMean, math.Max(1, s.WorstOverMean)
	r.Invariants = s.Check.Total()
	return r
}

// servedShare runs for d and returns the requests served in that time relative to
// those offered in it, at most 1.
func (s *Simulation) servedShare(d time.Duration) float64 {
	offered, served := s.Offered, s.Served
	s.Fleet.Run(d)
	return min(1, float64(s.Served-served)/float64(max(1, s.Offered-offered)))
}

// flap makes one router in seven fail repeatedly for the next d: some are killed
// and restarted after 1 or 5 seconds, some are paused. Halfway, a third of the
// routers is partitioned from the others for 8 seconds.
func (s *Simulation) flap(d time.Duration) {
	f := s.Fleet
	failing := slices.Clone(f.Routers)
	s.Rng.Shuffle(len(failing), func(i, j int) { failing[i], failing[j] = failing[j], failing[i] })
	failing = failing[:max(1, len(failing)/7)]
	for i, r := range failing {
		at := time.Duration(s.Rng.Int64N(int64(d / 4)))
		for at < d {
			s.scheduleFault(r, at, (i+int(at/time.Second))%3)
			at += 6*time.Second + time.Duration(s.Rng.Int64N(int64(6*time.Second)))
		}
	}
	third := len(f.Routers) / 3
	f.After(d/2, func() {
		f.Blocked = func(a, b *sim.Router) bool { return s.side(a, third) != s.side(b, third) }
	})
	f.After(d/2+8*time.Second, func() { f.Blocked = nil })
}

func (s *Simulation) side(r *sim.Router, cut int) bool {
	return slices.Index(s.Fleet.Routers, r) < cut
}

func (s *Simulation) scheduleFault(r *sim.Router, at time.Duration, kind int) {
	f := s.Fleet
	switch kind {
	case 0:
		f.After(at, func() { f.Kill(r) })
		f.After(at+time.Second, func() { f.Start(r) })
	case 1:
		f.After(at, func() { f.Kill(r) })
		f.After(at+5*time.Second, func() { f.Start(r) })
	default:
		f.After(at, func() {
			if r.Up {
				f.Pause(r)
			}
		})
		f.After(at+5*time.Second, func() {
			if r.Paused {
				f.Resume(r)
			}
		})
	}
}
