package permits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usualConstant averages a workspace's usual rate of asks.
	usualConstant = time.Minute
	// excessPart is the part of the asks beyond a workspace's usual rate that counts
	// toward the usual rate, so that a lasting change becomes usual in minutes.
	excessPart = 0.125
	// usualSlack is the factor beyond the usual rate that still counts as usual.
	usualSlack = 1.25
	// farBeyond is the factor beyond the usual rate from which a workspace gets no slack:
	// the slack is for chance, and would be taken from the others.
	farBeyond = 2.5
	// burstSeconds and minBurst are the asks that a workspace may send at once: those
	// of burstSeconds at its rate, but at least minBurst.
	burstSeconds = 1.0
	// surgeConstant averages the recent rates of asks.
	surgeConstant = 250 * time.Millisecond
	minBurst      = 8
	// minUsualRate is the least usual rate in asks per second, and minUsualPart the
	// least one as a part of an equal share.
	minUsualRate = 0.5
	minUsualPart = 0.125
	// minHistory is the time of which rates are at least taken.
	minHistory    = time.Second
	maxWorkspaces = 512
)

// workspace is what the owner knows of one workspace.
type workspace struct {
	usual  decaying // asks, with usualConstant
	recent decaying // asks, with surgeConstant
	second decaying // asks, with demandConstant
	bucket float64  // asks that count as usual
	filled time.Time
	finish float64 // virtual finish time of its last ask
}

// workspaces orders asks fairly. Among asks of one level it is start-time fair
// queueing with the usual rates as weights. Asks beyond a workspace's usual rate, if
// the others do not exceed theirs by as much, get a later level.
//
// request/queue orders by weights of running and waiting requests of one endpoint
// and needs the shares and the worth of the configuration, which services without
// such a configuration do not have.
type workspaces struct {
	began         time.Time
	byHash        map[uint32]*workspace
	usual, recent decaying // of all workspaces
	virtual       float64  // virtual time: start time of the last ask that was granted
}

// arrive records an ask. usual reports whether it is within the usual rate of its
// workspace.
func (s *workspaces) arrive(now time.Time, hash uint32) (w *workspace, usual bool) {
	if s.began.IsZero() {
		s.began = now
	}
	w = s.byHash[hash]
	if w == nil {
		if len(s.byHash) >= maxWorkspaces {
			s.dropLeast(now)
		}
		w = &workspace{bucket: minBurst, filled: now}
		s.byHash[hash] = w
	}
	rate := s.usualRate(now, w)
	if surge := s.surge(now, w); w.second.value(now, demandConstant) < farBeyond*surge*rate*demandConstant.Seconds() {
		rate *= usualSlack * surge
	}
	w.bucket = min(w.bucket+rate*now.Sub(w.filled).Seconds(), max(minBurst, burstSeconds*rate))
	w.filled = now
	part := excessPart
	if w.bucket >= 1 {
		w.bucket--
		usual, part = true, 1
	} else if s.perSecond(now, &s.usual)-s.perSecond(now, &w.usual) < minUsualRate {
		usual = true // no other workspace would lose by it
	}
	w.usual.add(now, part, usualConstant)
	s.usual.add(now, part, usualConstant)
	w.recent.add(now, 1, surgeConstant)
	w.second.add(now, 1, demandConstant)
	s.recent.add(now, 1, surgeConstant)
	return w, usual
}

// usualRate returns the usual asks per second of a workspace.
func (s *workspaces) usualRate(now time.Time, w *workspace) float64 {
	least := max(minUsualRate, minUsualPart*s.perSecond(now, &s.usual)/float64(len(s.byHash)))
	return max(s.perSecond(now, &w.usual), least)
}

// perSecond converts a sum with usualConstant, which has no history from before the
// owner began.
func (s *workspaces) perSecond(now time.Time, d *decaying) float64 {
	history := max(now.Sub(s.began), minHistory)
	return d.value(now, usualConstant) / (usualConstant.Seconds() * (1 - decay(history, usualConstant)))
}

// surge returns the factor, at least 1, by which the other workspaces together exceed
// their usual rates.
func (s *workspaces) surge(now time.Time, w *workspace) float64 {
	usual := s.perSecond(now, &s.usual) - s.perSecond(now, &w.usual)
	if usual < minUsualRate {
		return 1
	}
	recent := s.recent.value(now, surgeConstant) - w.recent.value(now, surgeConstant)
	return max(recent/surgeConstant.Seconds()/usual, 1)
}

// perSecondNow returns the recent asks per second.
func (s *workspaces) perSecondNow(now time.Time) float64 {
	return s.recent.value(now, surgeConstant) / surgeConstant.Seconds()
}

// start returns the virtual start time of an ask, and charges its cost to w.
func (s *workspaces) start(now time.Time, w *workspace, cost float64) float64 {
	start := max(s.virtual, w.finish)
	w.finish = start + cost/s.usualRate(now, w)
	return start
}

// refund undoes the charge of an ask that was not granted.
func (s *workspaces) refund(now time.Time, w *workspace, cost float64) {
	w.finish -= cost / s.usualRate(now, w)
}

// granted advances the virtual time.
func (s *workspaces) granted(start float64) {
	s.virtual = max(s.virtual, start)
}

// dropLeast drops the quarter of the workspaces with the least asks.
func (s *workspaces) dropLeast(now time.Time) {
	type rated struct {
		hash uint32
		rate float64
	}
	list := make([]rated, 0, len(s.byHash))
	for hash, w := range s.byHash {
		list = append(list, rated{hash, w.usual.value(now, usualConstant)})
	}
	slices.SortFunc(list, func(a, b rated) int { return cmp.Or(cmp.Compare(a.rate, b.rate), cmp.Compare(a.hash, b.hash)) })
	for _, r := range list[:max(len(list)/4, 1)] {
		delete(s.byHash, r.hash)
	}
}

// levelsPerProfile is the number of levels of asks within the usual rate, and of those
// beyond it: the bands of loadshed.PriorityBand.
const levelsPerProfile = 96
