package admission

import (
	"math"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Options says how much is measured.
type Options struct {
	Seeds   []uint64
	Large   bool // also at the planned size, which takes minutes
	Workers int  // runs at a time
}

// HandoverReport compares ways of admission while owners change.
type HandoverReport struct {
	Results []HandoverResult `json:"results"`
}

// ColdReport holds cold starts of all endpoints at once.
type ColdReport struct {
	Results []ColdResult `json:"results"`
}

// SurgeReport compares ways of admission in a surge without faults.
type SurgeReport struct {
	Results []SurgeResult `json:"results"`
}

// MemberReport holds the cost and speed of membership by size, and the slopes
// over the number of routers that follow from the smallest and largest.
type MemberReport struct {
	Results []MemberResult `json:"results"`
	// BytesPerRouter is how much each further router adds to what every
	// router sends in a second; CorePerRouter and HeapPerRouter likewise.
	BytesPerRouter float64 `json:"bytes_per_s_per_router"`
	CorePerRouter  float64 `json:"core_per_router"`
	HeapPerRouter  float64 `json:"heap_bytes_per_router"`
}

// memberSizes are the fleets that membership is measured at.
var memberSizes = []int{7, 50, 150, 330}

func (o *Options) sizes() []Sizes {
	if o.Large {
		return []Sizes{Small, Large}
	}
	return []Sizes{Small}
}

// RunHandover measures handovers.
func RunHandover(o Options) HandoverReport {
	var report HandoverReport
	for _, sizes := range o.sizes() {
		report.Results = append(report.Results, Handover(sizes, o.Seeds, o.Workers)...)
	}
	return report
}

// RunCold measures cold starts.
func RunCold(o Options) ColdReport {
	var report ColdReport
	for _, sizes := range o.sizes() {
		report.Results = append(report.Results, Cold(sizes, o.Seeds, o.Workers)...)
	}
	return report
}

// RunAdmission measures a surge.
func RunAdmission(o Options) SurgeReport {
	var report SurgeReport
	for _, sizes := range o.sizes() {
		report.Results = append(report.Results, Surge(sizes, o.Seeds, o.Workers)...)
	}
	return report
}

// RunMember measures membership, one fleet after another, so that processor
// time and memory are those of one. Without Large it leaves out fleets of more
// than 50.
func RunMember(o Options) MemberReport {
	var report MemberReport
	for _, n := range memberSizes {
		if n > 50 && !o.Large {
			continue
		}
		for _, seed := range o.Seeds {
			report.Results = append(report.Results, Membership(n, seed))
		}
	}
	first := report.Results[0]
	last := report.Results[len(report.Results)-1]
	more := float64(max(1, last.Routers-first.Routers))
	report.BytesPerRouter = (last.SentPerSecond - first.SentPerSecond) / more
	report.CorePerRouter = (last.CoreShare - first.CoreShare) / more
	report.HeapPerRouter = (last.HeapBytes - first.HeapBytes) / more
	return report
}

// SurgeResult is what one way of admission did while the offered work rose to
// three times what the endpoints bear and fell again.
type SurgeResult struct {
	Way           string  `json:"way"`
	Routers       int     `json:"routers"`
	Seed          uint64  `json:"seed"`
	Offered       int64   `json:"offered"`
	Served        int64   `json:"served"`
	Overruns      int     `json:"overruns"`
	WorstOverrun  int     `json:"worst_overrun"`
	OverMean      int64   `json:"over_mean"`
	WorstOverMean float64 `json:"worst_over_mean"`
	Invariants    int64   `json:"invariant_violations"`
	// UsedInSurge is the part of what the endpoints bear that was served in
	// the surge.
	UsedInSurge float64 `json:"used_in_surge"`
}

const (
	surgeFactor = 3.0
	surgeTime   = 10 * time.Second
)

// Surge measures all ways in a surge, for each seed.
func Surge(sizes Sizes, seeds []uint64, workers int) []SurgeResult {
	results := make([]SurgeResult, len(ways())*len(seeds))
	p := pool.New().WithMaxGoroutines(workers)
	for i, w := range ways() {
		for j, seed := range seeds {
			p.Go(func() { results[i*len(seeds)+j] = surge(w, sizes, seed) })
		}
	}
	p.Wait()
	return results
}

func surge(w way, sizes Sizes, seed uint64) SurgeResult {
	calm := sizes.Arrivals / 2
	s := NewSite(sizes, seed, w.policy)
	s.Arrivals = calm
	s.Fleet.Run(warmUp)
	s.Offer()
	s.Fleet.Run(quietTime)
	s.Arrivals = surgeFactor * sizes.Arrivals
	served := s.Served
	s.Fleet.Run(surgeTime)
	capacity := float64(sizes.Endpoints*sizes.Bears) / sizes.Service.Seconds() * surgeTime.Seconds()
	r := SurgeResult{Way: w.name, Routers: sizes.Routers, Seed: seed}
	r.UsedInSurge = float64(s.Served-served) / capacity
	s.Arrivals = calm
	s.Fleet.Run(quietTime)
	r.Offered, r.Served = s.Offered, s.Served
	r.Overruns, r.WorstOverrun = s.Overruns()
	r.OverMean, r.WorstOverMean = s.OverMean, math.Max(1, s.WorstMean)
	r.Invariants = s.Check.Total()
	return r
}
