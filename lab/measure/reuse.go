package measure

import (
	"fmt"
	"time"
)

var (
	productPolicy = policyFactory{"stoatmount", newProduct}
	oraclePolicy  = policyFactory{"oracle", newOracle}
)

// Targets of cache reuse, relative to the oracle.
const (
	reuseCalm      = 0.98
	reuseChurn     = 0.95
	reuseTokenLost = 0.85
)

// upgradeInterval returns the time between two upgrades. Small deployments upgrade each
// endpoint once in the measured time, large ones several endpoints at a time.
func upgradeInterval(w *Workload) time.Duration {
	every := w.Measured / time.Duration(len(w.modelEndpoints()))
	return max(every, minUpgradeInterval)
}

// minUpgradeInterval keeps less than one endpoint in ten in an upgrade at the largest size.
const minUpgradeInterval = 600 * time.Millisecond

// measureReuse measures cache reuse without upgrades, with upgrades, and with
// upgrades and callers that do not echo the place token.
func measureReuse(o Options) (*Report, error) {
	report := &Report{Name: "reuse", Seeds: o.seeds(), Plot: "reuse, churn"}
	for _, w := range o.workloads() {
		interval := upgradeInterval(&w)
		for _, c := range []struct {
			name   string
			s      scenario
			target float64
		}{
			{"calm", scenario{}, reuseCalm},
			{"churn", scenario{upgradeInterval: interval}, reuseChurn},
			{"churn, token lost", scenario{upgradeInterval: interval, tokenLost: true}, reuseTokenLost},
		} {
			measureReuseCase(o, report, &w, c.name, c.s, c.target)
		}
	}
	return report, nil
}

func measureReuseCase(o Options, report *Report, w *Workload, name string, s scenario, target float64) {
	oracle := o.runs(w, s, oraclePolicy)
	product := o.runs(w, s, productPolicy)
	addReuse(report, w, oraclePolicy.name, name, oracle)
	addReuse(report, w, productPolicy.name, name, product)
	lowest := minRatio(product, oracle, (*stats).reuse)
	report.atLeast(fmt.Sprintf("reuse over oracle, %s, %s", w.Name, name), target, lowest)
	if s.tokenLost {
		return // baselines use no token
	}
	for _, b := range baselines() {
		addReuse(report, w, b.name, name, o.runs(w, s, b))
	}
}

func addReuse(report *Report, w *Workload, policy, name string, runs []*stats) {
	report.add(w.Name, policy, "reuse, "+name, collect(runs, (*stats).reuse))
	report.add(w.Name, policy, "live in time, "+name, collect(runs, liveInTimeShare))
	addTimes(report, w, policy, name, runs)
	report.add(w.Name, policy, "overruns, "+name, collect(runs, func(s *stats) float64 { return float64(s.overCapacity) }))
	report.add(w.Name, policy, "cold overruns, "+name, collect(runs, func(s *stats) float64 { return float64(s.overCold) }))
}

func liveInTimeShare(s *stats) float64 {
	return s.forKind(kindLive).inTimeShare()
}

// addTimes adds the load and the times to the first token.
func addTimes(report *Report, w *Workload, policy, name string, runs []*stats) {
	report.add(w.Name, policy, "first token p50 ms, "+name, collect(runs, func(s *stats) float64 { return milliseconds(s.firstToken.quantile(0.5)) }))
	report.add(w.Name, policy, "first token p95 ms, "+name, collect(runs, func(s *stats) float64 { return milliseconds(s.firstToken.quantile(0.95)) }))
	report.add(w.Name, policy, "mean load, "+name, collect(runs, func(s *stats) float64 { return ratio(s.loadSum, float64(s.loadSamples)) }))
	report.add(w.Name, policy, "skew p99, "+name, collect(runs, func(s *stats) float64 { return s.skew(0.99) }))
}
