package candidates

import "time"

// loadProbes is how many endpoints beyond the rendezvous choices are compared
// by load.
const loadProbes = 4

// addLeastLoad adds the endpoint with the most room among a few others of the
// group, in case every rendezvous choice is full. The few depend on the time,
// so that routers whose choices are full do not all go to the same one.
func (c *Selector) addLeastLoad(now time.Time, plan *Plan, w *weigher, in *Input, group string, key uint64) {
	indexes := c.groups[group].live.index
	if len(indexes) <= plan.n || plan.n == MaxCandidates {
		return
	}
	nowNanos := now.UnixNano()
	start := mix(key ^ uint64(nowNanos))
	best, bestRoom := -1, 0
	var bestState state
	for probe := range uint64(loadProbes) {
		i := indexes[mix(start+probe)%uint64(len(indexes))]
		e := &c.snapshot.Config.Endpoints[i]
		if !c.open(nowNanos, i, in.Tried) || plan.has(e) {
			continue
		}
		s := c.hints[i].read(now)
		room := s.room()
		if best < 0 || room > bestRoom {
			best, bestRoom, bestState = i, room, s
		}
	}
	if best < 0 {
		return
	}
	candidate := w.weigh(&c.snapshot.Config.Endpoints[best], &bestState, ReasonLeastLoad, 0)
	candidate.score -= rendezvousChoices * w.rankPenalty
	w.tryMove(c, &candidate, &bestState)
	plan.add(candidate)
}

// room returns the free permits by the hint, less the queue.
func (s *state) room() int {
	if !s.known {
		return 0
	}
	return s.load.Cap - s.load.Permits - s.load.Queue
}
