package measure

// zoneInTime is the share of bookings and live requests that must be completed in
// time while a zone is out of service for a while.
const zoneInTime = 0.999

// measureZone measures the requests completed in time, per kind, while a zone is
// out of service for a while.
func measureZone(o Options) (*Report, error) {
	report := &Report{Name: "zone", Seeds: o.seeds(), Plot: "live in time"}
	for _, w := range o.workloads() {
		policies := append([]policyFactory{productPolicy}, baselines()...)
		for _, p := range policies {
			runs := o.runs(&w, scenario{zoneOutOfService: true}, p)
			addZone(report, &w, p.name, runs)
			if p.name != productPolicy.name {
				continue
			}
			for _, kind := range []string{kindLive, kindCall} {
				lowest := -highest(runs, func(s *stats) float64 { return 1 - s.forKind(kind).inTimeShare() }) + 1
				report.atLeast(kind+" in time, "+w.Name, zoneInTime, lowest)
			}
		}
	}
	return report, nil
}

func addZone(report *Report, w *Workload, policy string, runs []*stats) {
	for _, kind := range []string{kindLive, kindCall, kindArchive} {
		k := func(s *stats) *kindStats { return s.forKind(kind) }
		report.add(w.Name, policy, kind+" in time", collect(runs, func(s *stats) float64 { return k(s).inTimeShare() }))
		report.add(w.Name, policy, kind+" refused", collect(runs, func(s *stats) float64 { return float64(k(s).refused) }))
		report.add(w.Name, policy, kind+" late", collect(runs, func(s *stats) float64 { return float64(k(s).late) }))
	}
	addTimes(report, w, policy, "whole run", runs)
	report.add(w.Name, policy, "reuse", collect(runs, (*stats).reuse))
}
