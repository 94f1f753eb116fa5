package admissionsim

import (
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/stoatmount/stoatmount/lab/sim"
)

// ColdStartResult is the result of a cold start of all endpoints at once, as
// after an upgrade of the whole fleet.
type ColdStartResult struct {
	Routers   int    `json:"routers"`
	Endpoints int    `json:"endpoints"`
	Seed      uint64 `json:"seed"`
	Announced bool   `json:"announced"` // by a new incarnation
	Flapping  bool   `json:"flapping"`  // routers fail during the ramp
	// FullCapacityAfter is the time until the endpoints have 95% of their warm
	// capacity; IdealAfter is the same for a policy that knows at every moment
	// the capacity and the load of each endpoint.
	FullCapacityAfter float64 `json:"full_after_s"`
	IdealAfter        float64 `json:"perfect_s"`
	Ratio             float64 `json:"ratio"`
	Overruns          int     `json:"overruns"`      // requests that reached a full endpoint
	WorstOverrun      int     `json:"worst_overrun"` // the largest number beyond the capacity of one
	Invariants        int64   `json:"invariant_violations"`
}

// Parameters of a cold start.
const (
	restartTime       = 2 * time.Second // duration of a restart
	fullCapacityShare = 0.95            // share of the warm capacity that counts as full
	coldLimit         = 5 * time.Minute
	coldOverload      = 1.5 // requests offered, relative to the warm capacity
)

// ColdStart measures cold starts at the given size, for each seed: announced,
// announced while routers flap, and unannounced.
func ColdStart(sizes Sizes, seeds []uint64, workers int) []ColdStartResult {
	sizes.ArrivalRate = coldOverload * float64(sizes.Endpoints*sizes.Capacity) / sizes.ServiceTime.Seconds()
	results := make([]ColdStartResult, 3*len(seeds))
	p := pool.New().WithMaxGoroutines(workers)
	for i, seed := range seeds {
		p.Go(func() { results[3*i] = runColdStart(sizes, seed, true, false) })
		p.Go(func() { results[3*i+1] = runColdStart(sizes, seed, true, true) })
		p.Go(func() { results[3*i+2] = runColdStart(sizes, seed, false, false) })
	}
	p.Wait()
	return results
}

func runColdStart(sizes Sizes, seed uint64, announced, flapping bool) ColdStartResult {
	r := ColdStartResult{Routers: sizes.Routers, Endpoints: sizes.Endpoints, Seed: seed, Announced: announced, Flapping: flapping}
	s := NewSimulation(sizes, seed, NewOwners)
	r.FullCapacityAfter = s.ramp(announced, flapping).Seconds()
	r.Overruns, r.WorstOverrun = s.Overruns()
	r.Invariants = s.Check.Total()
	ideal := NewSimulation(sizes, seed, newOracle)
	r.IdealAfter = ideal.ramp(announced, false).Seconds()
	r.Ratio = r.FullCapacityAfter / r.IdealAfter
	return r
}

// ramp makes all endpoints cold under load and returns the time until they are
// back at full capacity.
func (s *Simulation) ramp(announced, flapping bool) time.Duration {
	s.Fleet.Run(warmUp)
	s.StartTraffic()
	s.Fleet.Run(steadyTime)
	if flapping {
		s.flap(faultsTime)
	}
	start := s.Fleet.Now
	for _, e := range s.Endpoints {
		if announced {
			s.Restart(e, restartTime)
		} else {
			e.TurnCold()
		}
	}
	if announced {
		s.Fleet.Run(restartTime)
	}
	for s.Fleet.Now.Sub(start) < coldLimit && s.warmShare() < fullCapacityShare {
		s.Fleet.Run(100 * time.Millisecond)
	}
	return s.Fleet.Now.Sub(start)
}

// warmShare returns the current capacity of all endpoints relative to the warm one.
func (s *Simulation) warmShare() float64 {
	current := 0
	for _, e := range s.Endpoints {
		current += e.CurrentCapacity()
	}
	return float64(current) / float64(len(s.Endpoints)*s.Capacity)
}

// oracle is the ideal policy: it admits by the true state of the endpoints.
type oracle struct {
	baseline
	inTransit map[*Endpoint]int // admitted, not yet at the endpoint
}

func newOracle(simulation *Simulation) Policy {
	return &oracle{baseline: newBaseline(simulation), inTransit: make(map[*Endpoint]int)}
}

// Acquire implements Policy.
func (o *oracle) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	for _, e := range o.simulation.randomCandidates(group, len(group)) {
		if e.Down || e.Running+o.inTransit[e] >= e.CurrentCapacity() {
			continue
		}
		o.inTransit[e]++
		o.simulation.Fleet.After(o.simulation.Fleet.Delay, func() { o.inTransit[e]-- })
		o.admit(entry, e, done)
		return
	}
	done(nil)
}
