package admissionsim

import (
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/stoatmount/stoatmount/lab/sim"
)

// ColdStartResult is one cold start of all endpoints at once, as after an upgrade
// at night.
type ColdStartResult struct {
	Routers   int    `json:"routers"`
	Endpoints int    `json:"endpoints"`
	Seed      uint64 `json:"seed"`
	Announced bool   `json:"announced"` // by a new boot number
	Flapping  bool   `json:"flapping"`  // routers fail during the ramp
	// FullAfter is the time until the endpoints bear 95% of what they bear
	// when warm; Perfect is the same for a ramp that knows at every moment
	// what each endpoint bears and runs.
	FullAfter  float64 `json:"full_after_s"`
	IdealAfter float64 `json:"perfect_s"`
	Ratio      float64 `json:"ratio"`
	// Overruns counts requests beyond what a cold endpoint bore.
	Overruns     int   `json:"overruns"`
	WorstOverrun int   `json:"worst_overrun"`
	Invariants   int64 `json:"invariant_violations"`
}

// Bounds of a cold run.
const (
	coldDown     = 2 * time.Second // that a restart takes
	coldWarm     = 0.95            // part of the capacity that counts as full service
	coldLimit    = 5 * time.Minute
	coldOverload = 1.5 // requests offered over what warm endpoints bear
)

// ColdStart measures cold starts at the given size, for each seed: announced,
// announced while routers flap, and without notice.
func ColdStart(sizes Sizes, seeds []uint64, workers int) []ColdStartResult {
	sizes.ArrivalRate = coldOverload * float64(sizes.Endpoints*sizes.Capacity) / sizes.ServiceTime.Seconds()
	results := make([]ColdStartResult, 3*len(seeds))
	p := pool.New().WithMaxGoroutines(workers)
	for i, seed := range seeds {
		p.Go(func() { results[3*i] = coldRun(sizes, seed, true, false) })
		p.Go(func() { results[3*i+1] = coldRun(sizes, seed, true, true) })
		p.Go(func() { results[3*i+2] = coldRun(sizes, seed, false, false) })
	}
	p.Wait()
	return results
}

func coldRun(sizes Sizes, seed uint64, announced, flapping bool) ColdStartResult {
	r := ColdStartResult{Routers: sizes.Routers, Endpoints: sizes.Endpoints, Seed: seed, Announced: announced, Flapping: flapping}
	s := NewSimulation(sizes, seed, NewOwners)
	r.FullAfter = s.ramp(announced, flapping).Seconds()
	r.Overruns, r.WorstOverrun = s.Overruns()
	r.Invariants = s.Check.Total()
	perfect := NewSimulation(sizes, seed, newOracle)
	r.IdealAfter = perfect.ramp(announced, false).Seconds()
	r.Ratio = r.FullAfter / r.IdealAfter
	return r
}

// ramp makes all endpoints cold under load and returns the time until full
// service.
func (s *Simulation) ramp(announced, flapping bool) time.Duration {
	s.Fleet.Run(warmUp)
	s.Offer()
	s.Fleet.Run(quietTime)
	if flapping {
		s.flap(faultsTime)
	}
	start := s.Fleet.Now
	for _, e := range s.Endpoints {
		if announced {
			s.Restart(e, coldDown)
		} else {
			e.TurnCold()
		}
	}
	if announced {
		s.Fleet.Run(coldDown)
	}
	for s.Fleet.Now.Sub(start) < coldLimit && s.bears() < coldWarm {
		s.Fleet.Run(100 * time.Millisecond)
	}
	return s.Fleet.Now.Sub(start)
}

// bears returns the part of the warm capacity that the endpoints bear now.
func (s *Simulation) bears() float64 {
	now := 0
	for _, e := range s.Endpoints {
		now += e.Bears()
	}
	return float64(now) / float64(len(s.Endpoints)*s.Capacity)
}

// oracle admits by the true state of the endpoints.
type oracle struct {
	baseline
	coming map[*Endpoint]int // admitted and not yet there
}

func newOracle(site *Simulation) Policy {
	return &oracle{baseline: newBaseline(site), coming: make(map[*Endpoint]int)}
}

// Acquire implements Policy.
func (o *oracle) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	for _, e := range o.site.try(group, len(group)) {
		if e.Down || e.Running+o.coming[e] >= e.Bears() {
			continue
		}
		o.coming[e]++
		o.site.Fleet.After(o.site.Fleet.Delay, func() { o.coming[e]-- })
		o.admit(entry, e, done)
		return
	}
	done(nil)
}
