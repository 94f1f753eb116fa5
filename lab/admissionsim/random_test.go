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

// crowded gets twice what its endpoints bear, in requests that outlive
// handovers. The mean does not bound it, so that each owner's cap is what the
// endpoint truly bears.
var crowded = Sizes{Routers: 5, Endpoints: 6, Groups: 1, Capacity: 5, ColdCapacity: 1, WarmAfter: 8,
	ServiceTime: 6 * time.Second, ArrivalRate: 2 * 6 * 5 / 6, Lag: 200 * time.Millisecond, MeanMultiple: 100}

// chaos drives a site with random faults.
type chaos struct {
	site    *Simulation
	blocked map[[2]*sim.Router]bool
	list    []member.Member // frozen list; nil: the true one
	noList  bool
	failed  string
}

func newChaos(seed uint64) *chaos {
	ch := &chaos{site: NewSimulation(crowded, seed, NewOwners), blocked: make(map[[2]*sim.Router]bool)}
	f := ch.site.Fleet
	f.Blocked = func(from, to *sim.Router) bool { return ch.blocked[[2]*sim.Router{from, to}] }
	listUp := f.List
	f.List = func() []member.Member {
		switch {
		case ch.noList:
			return nil
		case ch.list != nil:
			return ch.list
		default:
			return listUp()
		}
	}
	ch.site.Policy.(*owners).OnGrant = func(e *Endpoint, d *admission.Decision, live int) {
		if live > e.Bears() && ch.failed == "" {
			ch.failed = fmt.Sprintf("%s: %d permits, %d borne, decision %+v", e.Settings.Name, live, e.Bears(), *d)
		}
	}
	f.Run(8 * time.Second)
	ch.site.Offer()
	f.Run(10 * time.Second)
	return ch
}

func (ch *chaos) check(t *rapid.T) {
	s := ch.site
	requests, worst := s.Overruns()
	if ch.failed != "" || requests > 0 || s.Check.Total() > 0 {
		t.Fatalf("at %v: permits over the cap at %q, overruns %d by up to %d, invariants %v",
			s.Fleet.Now.Sub(sim.Epoch), ch.failed, requests, worst, s.Check.Violations())
	}
}

func (ch *chaos) router(t *rapid.T) *sim.Router {
	routers := ch.site.Fleet.Routers
	return routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")]
}

func (ch *chaos) run(t *rapid.T) {
	ch.site.Fleet.Run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
}

func (ch *chaos) actions() map[string]func(*rapid.T) {
	f := ch.site.Fleet
	return map[string]func(*rapid.T){
		"":        ch.check,
		"run":     ch.run,
		"runMore": func(t *rapid.T) { ch.run(t); ch.run(t); ch.run(t) },
		"kill":    func(t *rapid.T) { f.Kill(ch.router(t)); ch.run(t) },
		"restart": func(t *rapid.T) {
			f.Start(ch.router(t))
			ch.run(t)
		},
		"pause": func(t *rapid.T) {
			if r := ch.router(t); r.Up {
				f.Pause(r)
			}
			ch.run(t)
		},
		"resume": func(t *rapid.T) {
			if r := ch.router(t); r.Up && r.Paused {
				f.Resume(r)
			}
			ch.run(t)
		},
		"blockOneWay": func(t *rapid.T) {
			ch.blocked[[2]*sim.Router{ch.router(t), ch.router(t)}] = true
			ch.run(t)
		},
		"island": func(t *rapid.T) {
			cut := rapid.IntRange(1, len(f.Routers)-1).Draw(t, "cut")
			for i, a := range f.Routers {
				for j, b := range f.Routers {
					if (i < cut) != (j < cut) {
						ch.blocked[[2]*sim.Router{a, b}] = true
					}
				}
			}
			ch.run(t)
		},
		"heal":       func(t *rapid.T) { clear(ch.blocked); ch.run(t) },
		"listOutage": func(t *rapid.T) { ch.noList = !ch.noList; ch.run(t) },
		"coldEndpoint": func(t *rapid.T) {
			endpoints := ch.site.Endpoints
			ch.site.Restart(endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(t, "endpoint")], time.Second)
			ch.run(t)
		},
	}
}

// recover ends all faults and checks that service comes back in full.
func (ch *chaos) recover(t *rapid.T) {
	f := ch.site.Fleet
	clear(ch.blocked)
	ch.noList = false
	for _, r := range f.Routers {
		switch {
		case !r.Up:
			f.Start(r)
		case r.Paused:
			f.Resume(r)
		}
	}
	f.Run(150 * time.Second)
	ch.check(t)
	if different, right := f.Views(); !right {
		t.Fatalf("%d views", different)
	}
	served := ch.site.Served
	f.Run(time.Minute)
	ch.check(t)
	if rate := float64(ch.site.Served-served) / 60; rate < 0.8*6*5/6 {
		for _, r := range f.Routers {
			for _, status := range ch.site.Policy.(*owners).nodes[r].owner.Status(f.Now) {
				t.Logf("%s %+v", r.Member.Name, status)
			}
		}
		t.Fatalf("only %v a second served", rate)
	}
}

// TestRandomHistories brings random faults in any order. Run it for longer with
// -rapid.checks=N; a failure prints the seed to repeat it with.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ch := newChaos(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(ch.actions())
		ch.recover(t)
	})
}
