package admissionsim

import (
	"math"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/stoatmount/stoatmount/lab/sim"
)

// HandoverResult is what one way of admission did while owners changed.
type HandoverResult struct {
	Policy  string `json:"way"`
	Routers int    `json:"routers"`
	Seed    uint64 `json:"seed"`
	Offered int64  `json:"offered"`
	Served  int64  `json:"served"`
	Refused int64  `json:"refused"`
	// Overruns counts requests that reached an endpoint which was full, and
	// WorstOverrun is the largest number beyond what one bore.
	Overruns     int `json:"overruns"`
	WorstOverrun int `json:"worst_overrun"`
	// OverMean counts requests that raised an endpoint beyond max(1, ceil(c x
	// mean)), with the largest mean of the last two seconds; WorstOverMean is the largest
	// load over that bound, 1 if it was never passed.
	OverMean      int64   `json:"over_mean"`
	WorstOverMean float64 `json:"worst_over_mean"`
	Invariants    int64   `json:"invariant_violations"`
	// ServedShare is the part of the offered requests that were served, before
	// the faults, during and after them.
	ServedBefore float64 `json:"served_before"`
	ServedDuring float64 `json:"served_during"`
	ServedAfter  float64 `json:"served_after"`
}

// way is a named policy.
type way struct {
	name   string
	policy func(*Simulation) Policy
}

// ways returns the product's mechanism first and then what it is weighed
// against.
func ways() []way {
	return []way{
		{"owner with promised shares", NewOwners},
		{"owner that waits out permits", NewWaiting},
		{"share of the cap per router", NewShares},
		{"least loaded by lagged reports", NewLeastLoaded},
		{"power of two choices", NewTwoChoices},
		{"bounded load per router", NewBounded},
	}
}

// PolicyNames returns the names of the ways that are measured, the product's first.
func PolicyNames() []string {
	var names []string
	for _, w := range ways() {
		names = append(names, w.name)
	}
	return names
}

// Phases of a handover run.
const (
	warmUp     = 12 * time.Second
	quietTime  = 10 * time.Second
	faultsTime = 40 * time.Second
	afterTime  = 10 * time.Second
	settleTime = 40 * time.Second
)

// Handover measures all ways at the given size under flapping hosts, for each
// seed. Runs are independent of each other and use up to workers goroutines.
func Handover(sizes Sizes, seeds []uint64, workers int) []HandoverResult {
	results := make([]HandoverResult, len(ways())*len(seeds))
	p := pool.New().WithMaxGoroutines(workers)
	for i, w := range ways() {
		for j, seed := range seeds {
			p.Go(func() { results[i*len(seeds)+j] = handover(w, sizes, seed) })
		}
	}
	p.Wait()
	return results
}

func handover(w way, sizes Sizes, seed uint64) HandoverResult {
	s := NewSimulation(sizes, seed, w.policy)
	s.Fleet.Run(warmUp)
	s.Offer()
	s.Fleet.Run(quietTime / 2)
	r := HandoverResult{Policy: w.name, Routers: sizes.Routers, Seed: seed}
	r.ServedBefore = s.servedShare(quietTime)
	s.flap(faultsTime)
	r.ServedDuring = s.servedShare(faultsTime)
	s.Fleet.Run(settleTime)
	r.ServedAfter = s.servedShare(afterTime)
	r.Offered, r.Served, r.Refused = s.Offered, s.Served, s.Refused
	r.Overruns, r.WorstOverrun = s.Overruns()
	r.OverMean, r.WorstOverMean = s.OverMean, math.Max(1, s.WorstMean)
	r.Invariants = s.Check.Total()
	return r
}

// servedShare runs for d and returns the part of the requests offered in that
// time that were not refused or lost.
func (s *Simulation) servedShare(d time.Duration) float64 {
	offered, served := s.Offered, s.Served
	s.Fleet.Run(d)
	return min(1, float64(s.Served-served)/float64(max(1, s.Offered-offered)))
}

// flap makes one host in seven fail in turn for the next d: some are killed
// and started again at once or later, some are paused, and in the middle a
// third of the routers is cut off for a while.
func (s *Simulation) flap(d time.Duration) {
	f := s.Fleet
	victims := slices.Clone(f.Routers)
	s.Rng.Shuffle(len(victims), func(i, j int) { victims[i], victims[j] = victims[j], victims[i] })
	victims = victims[:max(1, len(victims)/7)]
	for i, r := range victims {
		at := time.Duration(s.Rng.Int64N(int64(d / 4)))
		for at < d {
			s.scheduleFault(r, at, (i+int(at/time.Second))%3)
			at += 6*time.Second + time.Duration(s.Rng.Int64N(int64(6*time.Second)))
		}
	}
	cut := len(f.Routers) / 3
	f.After(d/2, func() {
		f.Blocked = func(a, b *sim.Router) bool { return s.side(a, cut) != s.side(b, cut) }
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
