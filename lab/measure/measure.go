package measure

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Options select how a measurement is run.
type Options struct {
	Seed    uint64 // of the first run; the others follow it
	Seeds   int    // number of runs; 0: DefaultSeeds
	Workers int    // runs at a time; 0: DefaultWorkers
	Small   bool   // only the cooperative's workload, for tests
}

const (
	// DefaultSeeds is the number of runs with different seeds.
	DefaultSeeds = 5
	// DefaultWorkers is the number of runs that are made at a time.
	DefaultWorkers = 4
)

// measurement is something that can be measured.
type measurement struct {
	name string
	help string
	run  func(o Options) (*Report, error)
}

func measurements() []measurement {
	return []measurement{
		{"reuse", "cache reuse with and without churn, against an oracle", measureReuse},
		{"surge", "load skew and waits while a workspace surges", measureSurge},
		{"zone", "requests in time while a zone goes out and returns", measureZone},
		{"crash", "endpoints lost to a body that crashes whatever runs it", measureCrash},
		{"control", "bytes a second that routers send each other for the request path", measureControl},
		{"storm", "attempts per request while endpoints fail", measureStorm},
		{"admission", "load over what endpoints bear and over the mean in a surge", measureAdmission},
		{"handover", "overrun and service while owners change", measureHandover},
		{"cold", "the ramp after cold starts against a perfect one", measureCold},
		{"member", "cost and speed of membership by size of fleet", measureMember},
		{"speed", "what one router adds to a request, on real connections", measureSpeed},
	}
}

// Names returns the names of all measurements with a short help text each.
func Names() []string {
	var names []string
	for _, m := range measurements() {
		names = append(names, m.name+": "+m.help)
	}
	return names
}

// Run makes the measurement called name.
func Run(name string, o Options) (*Report, error) {
	if o.Seeds == 0 {
		o.Seeds = DefaultSeeds
	}
	if o.Workers == 0 {
		o.Workers = DefaultWorkers
	}
	for _, m := range measurements() {
		if m.name == name {
			return m.run(o)
		}
	}
	return nil, errors.Errorf("no measurement is called %q; there are:\n  %s", name, strings.Join(Names(), "\n  "))
}

// seeds returns the seeds of all runs.
func (o *Options) seeds() []uint64 {
	seeds := make([]uint64, o.Seeds)
	for i := range seeds {
		seeds[i] = o.Seed + uint64(i)
	}
	return seeds
}

// workloads returns the workloads of the measurement.
func (o *Options) workloads() []Workload {
	if o.Small {
		return []Workload{Cooperative()}
	}
	return []Workload{Cooperative(), Sismolab(), Scaled()}
}

// runs makes one run per seed and returns their figures in the order of the
// seeds.
func (o *Options) runs(w *Workload, s scenario, p policyMaker) []*stats {
	seeds := o.seeds()
	results := make([]*stats, len(seeds))
	workers := pool.New().WithMaxGoroutines(o.Workers)
	for i, seed := range seeds {
		workers.Go(func() {
			results[i] = newFleet(w, s, seed, p).run()
		})
	}
	workers.Wait()
	return results
}

// collect returns one value per run.
func collect(runs []*stats, value func(*stats) float64) []float64 {
	values := make([]float64, len(runs))
	for i, s := range runs {
		values[i] = value(s)
	}
	return values
}

// worstRatio returns the smallest ratio of two figures of the same seed.
func worstRatio(runs, against []*stats, value func(*stats) float64) float64 {
	ratios := make([]float64, len(runs))
	for i := range runs {
		ratios[i] = ratio(value(runs[i]), value(against[i]))
	}
	return slices.Min(ratios)
}
