package measure

// zoneInTime is the share of bookings and live adaptations that must be
// answered once and in time while a zone goes out and returns.
const zoneInTime = 0.999

// measureZone measures the requests answered in time, per kind, while a zone
// goes out and returns.
func measureZone(o Options) (*Report, error) {
	report := &Report{Name: "zone", Seeds: o.seeds(), Plot: "live in time"}
	for _, w := range o.workloads() {
		policies := append([]policyMaker{productMaker}, baselines()...)
		for _, p := range policies {
			runs := o.runs(&w, scenario{zoneOut: true}, p)
			addZone(report, &w, p.name, runs)
			if p.name != productMaker.name {
				continue
			}
			for _, kind := range []string{kindLive, kindCall} {
				least := -worst(runs, func(s *stats) float64 { return 1 - s.named(kind).share() }) + 1
				report.atLeast(kind+" in time, "+w.Name, zoneInTime, least)
			}
		}
	}
	return report, nil
}

func addZone(report *Report, w *Workload, policy string, runs []*stats) {
	for _, kind := range []string{kindLive, kindCall, kindArchive} {
		k := func(s *stats) *kindStats { return s.named(kind) }
		report.add(w.Name, policy, kind+" in time", collect(runs, func(s *stats) float64 { return k(s).share() }))
		report.add(w.Name, policy, kind+" refused", collect(runs, func(s *stats) float64 { return float64(k(s).refused) }))
		report.add(w.Name, policy, kind+" late", collect(runs, func(s *stats) float64 { return float64(k(s).late) }))
	}
	addTimes(report, w, policy, "whole run", runs)
	report.add(w.Name, policy, "reuse", collect(runs, (*stats).reuse))
}
