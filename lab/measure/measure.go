package measure

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Options are the options of a measurement.
type Options struct {
	Seed    uint64 // of the first run; each next one adds 1
	Seeds   int    // number of runs; 0: DefaultSeeds
	Workers int    // concurrent runs; 0: DefaultWorkers
	Small   bool   // only the smallest workload, for tests
}

const (
	// DefaultSeeds is the number of runs with different seeds.
	DefaultSeeds = 5
	// DefaultWorkers is the number of concurrent runs.
	DefaultWorkers = 4
)

// measurement is a measurement with its name and help text.
type measurement struct {
	name string
	help string
	run  func(o Options) (*Report, error)
}

func measurements() []measurement {
	return []measurement{
		{"reuse", "cache reuse with and without churn, against an oracle", measureReuse},
		{"surge", "load skew and waits while a workspace surges", measureSurge},
		{"zone", "requests in time while a zone is out of service for a while", measureZone},
		{"crash", "endpoints lost to a request that crashes every endpoint", measureCrash},
		{"control", "bytes per second between routers for the request path", measureControl},
		{"storm", "attempts per request while endpoints fail", measureStorm},
		{"admission", "load over the capacity and over the mean in a surge", measureAdmission},
		{"handover", "overruns and requests served while owners change", measureHandover},
		{"cold", "ramp after cold starts, against an ideal one", measureCold},
		{"member", "cost and convergence time of membership, by size of the fleet", measureMember},
		{"speed", "overhead of one router, on real connections", measureSpeed},
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

// Run runs the measurement called name.
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
	return nil, errors.Errorf("no measurement is called %q; available:\n  %s", name, strings.Join(Names(), "\n  "))
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

// runs runs w once per seed and returns the figures in the order of the seeds.
func (o *Options) runs(w *Workload, s scenario, p policyFactory) []*stats {
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

// minRatio returns the smallest ratio of a figure in two runs with the same seed.
func minRatio(runs, against []*stats, value func(*stats) float64) float64 {
	ratios := make([]float64, len(runs))
	for i := range runs {
		ratios[i] = ratio(value(runs[i]), value(against[i]))
	}
	return slices.Min(ratios)
}
