package measure

import (
	"strconv"

	"github.com/stoatmount/stoatmount/lab/admissionsim"
)

// Targets of admission and membership.
const (
	rampTarget       = 1.5              // times the ideal ramp
	membershipBudget = 2 * 1024         // bytes a second that a router sends
	cpuBudget        = 0.02             // of a core
	memoryBudget     = 32 * 1024 * 1024 // bytes
	detectionTarget  = 10               // seconds until no view has the dead host
)

// fleetSizes are the numbers of routers that membership is measured with, smallest first.
var fleetSizes = []int{7, 50, 150, 330}

// smallFleetSizes is how many of fleetSizes are measured if Options.Small is set.
const smallFleetSizes = 2

// admissionRuns returns the sizes to measure with the seeds of each. The planned
// size takes minutes and gets one seed.
func (o *Options) admissionRuns() []sizeWithSeeds {
	small := sizeWithSeeds{name: "today", sizes: admissionsim.Small, seeds: o.seeds()}
	if o.Small {
		return []sizeWithSeeds{small}
	}
	return []sizeWithSeeds{small, {name: "planned", sizes: admissionsim.Large, seeds: o.seeds()[:1]}}
}

type sizeWithSeeds struct {
	name  string
	sizes admissionsim.Sizes
	seeds []uint64
}

// values collects a figure of all results that keep accepts.
func values[R any](results []R, keep func(*R) bool, figure func(*R) float64) []float64 {
	var out []float64
	for i := range results {
		if keep(&results[i]) {
			out = append(out, figure(&results[i]))
		}
	}
	return out
}

// namedFigure extracts a figure from a result.
type namedFigure[R any] struct {
	name   string
	figure func(*R) float64
}

// measureHandover compares admission policies while owners change.
func measureHandover(o Options) (*Report, error) {
	r := &Report{Name: "handover", Seeds: o.seeds(), Plot: "served_during"}
	for _, runs := range o.admissionRuns() {
		results := admissionsim.Handover(runs.sizes, runs.seeds, o.Workers)
		for _, policy := range admissionsim.PolicyNames() {
			keep := func(h *admissionsim.HandoverResult) bool { return h.Policy == policy }
			for _, f := range handoverFigures() {
				got := r.add(runs.name, policy, f.name, values(results, keep, f.figure))
				if policy == admissionsim.PolicyNames()[0] && (f.name == "overruns" || f.name == "invariant_violations") {
					r.atMost(runs.name+" "+f.name, 0, got.Max)
				}
			}
		}
	}
	return r, nil
}

func handoverFigures() []namedFigure[admissionsim.HandoverResult] {
	type result = admissionsim.HandoverResult
	return []namedFigure[result]{
		{"overruns", func(h *result) float64 { return float64(h.Overruns) }},
		{"worst_overrun", func(h *result) float64 { return float64(h.WorstOverrun) }},
		{"over_mean", func(h *result) float64 { return float64(h.OverMean) }},
		{"invariant_violations", func(h *result) float64 { return float64(h.Invariants) }},
		{"served_before", func(h *result) float64 { return h.ServedBefore }},
		{"served_during", func(h *result) float64 { return h.ServedDuring }},
		{"served_after", func(h *result) float64 { return h.ServedAfter }},
	}
}

// measureAdmission compares admission policies in a surge.
func measureAdmission(o Options) (*Report, error) {
	r := &Report{Name: "admission", Seeds: o.seeds(), Plot: "over_mean"}
	type result = admissionsim.SurgeResult
	figures := []namedFigure[result]{
		{"overruns", func(s *result) float64 { return float64(s.Overruns) }},
		{"worst_overrun", func(s *result) float64 { return float64(s.WorstOverrun) }},
		{"over_mean", func(s *result) float64 { return float64(s.OverMean) }},
		{"worst_over_mean", func(s *result) float64 { return s.WorstOverMean }},
		{"used_in_surge", func(s *result) float64 { return s.UsedInSurge }},
	}
	for _, runs := range o.admissionRuns() {
		results := admissionsim.Surge(runs.sizes, runs.seeds, o.Workers)
		for _, policy := range admissionsim.PolicyNames() {
			keep := func(s *result) bool { return s.Policy == policy }
			for _, f := range figures {
				got := r.add(runs.name, policy, f.name, values(results, keep, f.figure))
				if policy == admissionsim.PolicyNames()[0] && (f.name == "overruns" || f.name == "over_mean") {
					r.atMost(runs.name+" "+f.name, 0, got.Max)
				}
			}
		}
	}
	return r, nil
}

// measureCold compares the ramp after cold starts with an ideal one.
func measureCold(o Options) (*Report, error) {
	r := &Report{Name: "cold", Seeds: o.seeds(), Plot: "ratio"}
	type result = admissionsim.ColdStartResult
	starts := []struct {
		name string
		keep func(*result) bool
	}{
		{"announced", func(c *result) bool { return c.Announced && !c.Flapping }},
		{"announced, routers flap", func(c *result) bool { return c.Announced && c.Flapping }},
		{"without notice", func(c *result) bool { return !c.Announced }},
	}
	for _, runs := range o.admissionRuns() {
		results := admissionsim.ColdStart(runs.sizes, runs.seeds, o.Workers)
		for _, start := range starts {
			r.add(runs.name, start.name, "full_after_s", values(results, start.keep, func(c *result) float64 { return c.FullCapacityAfter }))
			r.add(runs.name, start.name, "perfect_s", values(results, start.keep, func(c *result) float64 { return c.IdealAfter }))
			ratio := r.add(runs.name, start.name, "ratio", values(results, start.keep, func(c *result) float64 { return c.Ratio }))
			over := r.add(runs.name, start.name, "overruns", values(results, start.keep, func(c *result) float64 { return float64(c.Overruns) }))
			if start.name == "without notice" {
				continue // until routers detect it, the cap is that of a warm endpoint
			}
			r.atMost(runs.name+" overruns, "+start.name, 0, over.Max)
			if start.name == "announced" {
				r.atMost(runs.name+" ratio, "+start.name, rampTarget, ratio.Max)
			}
		}
	}
	return r, nil
}

// measureMember measures the cost of membership and the time until routers agree.
// Fleets run one after another, so that the real time taken is that of one fleet.
func measureMember(o Options) (*Report, error) {
	r := &Report{Name: "member", Seeds: o.seeds()[:1], Plot: "sent_bytes_per_s"}
	sizes := fleetSizes
	if o.Small {
		sizes = sizes[:smallFleetSizes]
	}
	for _, n := range sizes {
		m := admissionsim.Membership(n, o.Seed)
		name := strconv.Itoa(n) + " routers"
		for _, f := range memberFigures() {
			r.add(name, "gossip", f.name, []float64{f.figure(&m)})
		}
		r.atMost(name+" sent bytes a second", membershipBudget, m.SentPerSecond+m.ReplacementBytesPerSecond)
		r.atMost(name+" part of a core", cpuBudget, m.CoreShare)
		r.atMost(name+" memory", memoryBudget, m.HeapBytes)
		r.atMost(name+" false deaths", 0, float64(m.FalseDeaths))
		r.atMost(name+" death noticed by all", detectionTarget, m.DeathAfter)
	}
	return r, nil
}

func memberFigures() []namedFigure[admissionsim.MemberResult] {
	type result = admissionsim.MemberResult
	return []namedFigure[result]{
		{"sent_bytes_per_s", func(m *result) float64 { return m.SentPerSecond }},
		{"sent_bytes_per_s_most", func(m *result) float64 { return m.MaxSentPerSecond }},
		{"replacements_bytes_per_s", func(m *result) float64 { return m.ReplacementBytesPerSecond }},
		{"core_share", func(m *result) float64 { return m.CoreShare }},
		{"heap_bytes", func(m *result) float64 { return m.HeapBytes }},
		{"least_counted", func(m *result) float64 { return m.MinCounted }},
		{"false_deaths", func(m *result) float64 { return float64(m.FalseDeaths) }},
		{"start_s", func(m *result) float64 { return m.StartAfter }},
		{"death_s", func(m *result) float64 { return m.DeathAfter }},
		{"zone_death_s", func(m *result) float64 { return m.ZoneAfter }},
		{"join_s", func(m *result) float64 { return m.JoinAfter }},
		{"leave_s", func(m *result) float64 { return m.LeaveAfter }},
	}
}
