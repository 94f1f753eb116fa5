package measure

import "time"

// maxWaitGrowth bounds the mean wait of the other workspaces during a surge,
// relative to that before.
const maxWaitGrowth = 1.10

// measureSurge measures load skew, and the waits of the other workspaces while
// one sends surgeFactor times its traffic.
func measureSurge(o Options) (*Report, error) {
	report := &Report{Name: "surge", Seeds: o.seeds(), Plot: "skew p99"}
	for _, w := range o.workloads() {
		policies := append([]policyFactory{productPolicy}, baselines()...)
		for _, p := range policies {
			runs := o.runs(&w, scenario{surge: true}, p)
			addSurge(report, &w, p.name, runs)
			if p.name != productPolicy.name {
				continue
			}
			report.atMost("permits over the cap, "+w.Name, 0, highest(runs, func(s *stats) float64 { return float64(s.overCap) }))
			report.atMost("wait of others during the surge over before, "+w.Name, maxWaitGrowth, highest(runs, waitGrowth))
		}
	}
	return report, nil
}

func highest(runs []*stats, value func(*stats) float64) float64 {
	maximum := 0.0
	for _, s := range runs {
		maximum = max(maximum, value(s))
	}
	return maximum
}

// waitGrowth returns the mean wait of the other workspaces during the surge,
// relative to that before.
func waitGrowth(s *stats) float64 {
	return ratio(s.waitDuring.mean().Seconds(), s.waitBefore.mean().Seconds())
}

func addSurge(report *Report, w *Workload, policy string, runs []*stats) {
	add := func(name string, value func(*stats) float64) {
		report.add(w.Name, policy, name, collect(runs, value))
	}
	add("skew p50", func(s *stats) float64 { return s.skew(0.5) })
	add("skew p99", func(s *stats) float64 { return s.skew(0.99) })
	add("skew max", func(s *stats) float64 { return s.skew(1) })
	add("permits over cap", func(s *stats) float64 { return float64(s.overCap) })
	add("permits over mean of the moment", func(s *stats) float64 { return float64(s.overMean) })
	add("most permits over it", func(s *stats) float64 { return float64(s.maxOverMean) })
	add("overruns", func(s *stats) float64 { return float64(s.overCapacity) })
	add("others wait before ms", func(s *stats) float64 { return milliseconds(s.waitBefore.mean()) })
	add("others wait in surge ms", func(s *stats) float64 { return milliseconds(s.waitDuring.mean()) })
	add("others p95 before ms", func(s *stats) float64 { return milliseconds(s.waitBefore.quantile(0.95)) })
	add("others p95 in surge ms", func(s *stats) float64 { return milliseconds(s.waitDuring.quantile(0.95)) })
	add("others reuse before", func(s *stats) float64 { return s.reuseBefore.share() })
	add("others reuse in surge", func(s *stats) float64 { return s.reuseDuring.share() })
	add("surging wait ms", func(s *stats) float64 { return milliseconds(s.waitSurging.mean()) })
	add("live in time", liveInTimeShare)
	add("reuse", (*stats).reuse)
	addTimes(report, w, policy, "whole run", runs)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
