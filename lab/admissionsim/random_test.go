package admissionsim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/member"
)

// overloadedSizes offers twice the capacity, in requests that outlive handovers. The mean
// is no bound here, so that each owner's cap is the capacity of the endpoint.
var overloadedSizes = Sizes{Routers: 5, Endpoints: 6, Groups: 1, Capacity: 5, ColdCapacity: 1, WarmAfter: 8,
	ServiceTime: 6 * time.Second, ArrivalRate: 2 * 6 * 5 / 6, Lag: 200 * time.Millisecond, MeanMultiple: 100}

// faultRun runs a simulation with random faults.
type faultRun struct {
	simulation *Simulation
	blocked    map[[2]*sim.Router]bool
	frozenList []member.Member // host list to return; nil: the current one
	listDown   bool
	failed     string
}

func newFaultRun(seed uint64) *faultRun {
	fr := &faultRun{simulation: NewSimulation(overloadedSizes, seed, NewOwners), blocked: make(map[[2]*sim.Router]bool)}
	f := fr.simulation.Fleet
	f.Blocked = func(from, to *sim.Router) bool { return fr.blocked[[2]*sim.Router{from, to}] }
	liveList := f.List
	f.List = func() []member.Member {
		switch {
		case fr.listDown:
			return nil
		case fr.frozenList != nil:
			return fr.frozenList
		default:
			return liveList()
		}
	}
	fr.simulation.Policy.(*owners).OnGrant = func(e *Endpoint, d *admission.Decision, live int) {
		if live > e.CurrentCapacity() && fr.failed == "" {
			fr.failed = fmt.Sprintf("%s: %d permits, capacity %d, decision %+v", e.Settings.Name, live, e.CurrentCapacity(), *d)
		}
	}
	f.Run(8 * time.Second)
	fr.simulation.StartTraffic()
	f.Run(10 * time.Second)
	return fr
}

func (fr *faultRun) check(t *rapid.T) {
	s := fr.simulation
	requests, worst := s.Overruns()
	if fr.failed != "" || requests > 0 || s.Check.Total() > 0 {
		t.Fatalf("at %v: first grant over the cap (empty if none) %q, overruns %d by up to %d, invariants %v",
			s.Fleet.Now.Sub(sim.Epoch), fr.failed, requests, worst, s.Check.Violations())
	}
}

func (fr *faultRun) router(t *rapid.T) *sim.Router {
	routers := fr.simulation.Fleet.Routers
	return routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")]
}

func (fr *faultRun) run(t *rapid.T) {
	fr.simulation.Fleet.Run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
}

func (fr *faultRun) actions() map[string]func(*rapid.T) {
	f := fr.simulation.Fleet
	return map[string]func(*rapid.T){
		"":        fr.check,
		"run":     fr.run,
		"runMore": func(t *rapid.T) { fr.run(t); fr.run(t); fr.run(t) },
		"kill":    func(t *rapid.T) { f.Kill(fr.router(t)); fr.run(t) },
		"restart": func(t *rapid.T) {
			f.Start(fr.router(t))
			fr.run(t)
		},
		"pause": func(t *rapid.T) {
			if r := fr.router(t); r.Up {
				f.Pause(r)
			}
			fr.run(t)
		},
		"resume": func(t *rapid.T) {
			if r := fr.router(t); r.Up && r.Paused {
				f.Resume(r)
			}
			fr.run(t)
		},
		"blockOneWay": func(t *rapid.T) {
			fr.blocked[[2]*sim.Router{fr.router(t), fr.router(t)}] = true
			fr.run(t)
		},
		"island": func(t *rapid.T) {
			cut := rapid.IntRange(1, len(f.Routers)-1).Draw(t, "cut")
			for i, a := range f.Routers {
				for j, b := range f.Routers {
					if (i < cut) != (j < cut) {
						fr.blocked[[2]*sim.Router{a, b}] = true
					}
				}
			}
			fr.run(t)
		},
		"heal":       func(t *rapid.T) { clear(fr.blocked); fr.run(t) },
		"listOutage": func(t *rapid.T) { fr.listDown = !fr.listDown; fr.run(t) },
		"coldEndpoint": func(t *rapid.T) {
			endpoints := fr.simulation.Endpoints
			fr.simulation.Restart(endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(t, "endpoint")], time.Second)
			fr.run(t)
		},
	}
}

// recover ends all faults and checks that at least 80% of the capacity is served again.
func (fr *faultRun) recover(t *rapid.T) {
	f := fr.simulation.Fleet
	clear(fr.blocked)
	fr.listDown = false
	for _, r := range f.Routers {
		switch {
		case !r.Up:
			f.Start(r)
		case r.Paused:
			f.Resume(r)
		}
	}
	f.Run(150 * time.Second)
	fr.check(t)
	if different, right := f.Views(); !right {
		t.Fatalf("routers have %d views, want the correct one", different)
	}
	served := fr.simulation.Served
	f.Run(time.Minute)
	fr.check(t)
	if rate := float64(fr.simulation.Served-served) / 60; rate < 0.8*6*5/6 {
		for _, r := range f.Routers {
			for _, status := range fr.simulation.Policy.(*owners).nodes[r].owner.Status(f.Now) {
				t.Logf("%s %+v", r.Member.Name, status)
			}
		}
		t.Fatalf("only %v requests per second served", rate)
	}
}

// TestRandomHistories injects random faults in random order. Run more of them
// with -rapid.checks=N; a failure prints the seed that reproduces it.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fr := newFaultRun(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(fr.actions())
		fr.recover(t)
	})
}
