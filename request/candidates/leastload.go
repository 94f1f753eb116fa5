package candidates

import "time"

// loadProbes is the number of endpoints sampled to compare their load, beyond the
// rendezvous choices.
const loadProbes = 4

// addLeastLoad adds the endpoint with the most free permits among a few others of
// the group, in case every rendezvous choice is full. The sample depends on the
// time, so that routers whose choices are full do not all pick the same endpoint.
func (sel *Selector) addLeastLoad(now time.Time, plan *Plan, w *scorer, in *Input, group string, key uint64) {
	indexes := sel.groups[group].inService.index
	if len(indexes) <= plan.n || plan.n == MaxCandidates {
		return
	}
	nowNanos := now.UnixNano()
	start := splitMix64(key ^ uint64(nowNanos))
	best, bestFree := -1, 0
	var bestState hintState
	for probe := range uint64(loadProbes) {
		i := indexes[splitMix64(start+probe)%uint64(len(indexes))]
		e := &sel.snapshot.Config.Endpoints[i]
		if !sel.usable(nowNanos, i, in.Tried) || plan.contains(e) {
			continue
		}
		s := sel.hints[i].read(now)
		free := s.freePermits()
		if best < 0 || free > bestFree {
			best, bestFree, bestState = i, free, s
		}
	}
	if best < 0 {
		return
	}
	candidate := w.newCandidate(&sel.snapshot.Config.Endpoints[best], &bestState, ReasonLeastLoad, 0)
	candidate.score -= rendezvousChoices * w.rankPenalty
	w.considerMove(sel, &candidate, &bestState)
	plan.add(candidate)
}

// freePermits returns the free permits less the queue length; 0 if unknown.
func (s *hintState) freePermits() int {
	if !s.recent {
		return 0
	}
	return s.load.Cap - s.load.Permits - s.load.Queue
}
