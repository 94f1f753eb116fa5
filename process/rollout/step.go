package rollout

import (
	"maps"
	"time"
)

const (
	// canaryUntil is the end of the canary stage as a share of the time limit. Versions
	// that turn bad 3 s after their start show it until then. Meanwhile the idle endpoints of
	// the version lower the mean load of the service, so it must not last longer.
	canaryUntil = 0.4
	// loadTestShare is the length of the load test, at the end of the canary stage, as a share of the
	// time limit.
	loadTestShare = 0.15
	// minCanary is the shortest canary stage of a version whose endpoints came late.
	minCanary = 4 * time.Second
	// canaryHold is the longest time that bad answers extend the canary stage by, as a share
	// of the time limit. Old endpoints get that much less time to finish their requests.
	canaryHold = 0.1
	// finishEarly is how long before the time limit the final state is decided, so that
	// its record is in the store in time, and drainTime what old endpoints get before that
	// to finish their requests at least.
	finishEarly = 700 * time.Millisecond
	drainTime   = time.Second
	// touchTime is the time without heartbeats after which a router is out of touch.
	touchTime = 1500 * time.Millisecond
	// startQuorum is how long a coordinator knows an order before it begins the canary
	// stage when half of the routers know it too; startAlone is the same when fewer do. A
	// router that has just started hears the stage within that time.
	startQuorum = 100 * time.Millisecond
	startAlone  = time.Second
	// noOthersTime is how long a service must have only endpoints of the ordered version
	// for the order to be complete.
	noOthersTime = time.Second
	// settleTime is how long after a success old endpoints, which stop at once, may still
	// be in the table and get no requests.
	settleTime = 10 * time.Second
)

// Endpoints describes a service's endpoints as this router sees them, by version.
type Endpoints struct {
	Versions map[string]int // endpoints in the table
	Running  map[string]int // requests of this router that run on them
}

// others returns the number of endpoints of class Other.
func (e Endpoints) others(r *rollout) int {
	n := 0
	for version, count := range e.Versions {
		if version != r.order.To && classOf(r.past, version) == Other {
			n += count
		}
	}
	return n
}

// Step judges the evidence and, at the coordinator, advances the stages. endpoints holds
// the services that have endpoints; heard names the routers heard from, without this one.
// It returns the transitions since the last Step, including those learned by Merge,
// Restore and Adopt. Call it every 0.1 to 0.25 s and after an urgent Merge.
func (t *Table) Step(now time.Time, coordinator bool, endpoints map[string]Endpoints, heard []string) []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touch(now)
	t.outOfTouch = !t.heard.IsZero() && now.Sub(t.heard) >= min(touchTime, t.limits.Rollback/2)
	var list []Transition
	for _, service := range t.sorted() {
		ends := endpoints[service]
		r := t.maintain(now, t.services[service], ends)
		if r == nil {
			continue
		}
		if !r.deleted && !r.stage.Final() {
			t.judge(now, r, ends)
		}
		if coordinator && !t.outOfTouch && !r.deleted && !r.stage.Final() {
			r.decide(now, ends, heard)
		}
		r.loadTest = r.stage == StageCanary && now.Sub(r.began) >= r.loadTestFrom()
		r.share = t.shareAt(now, r)
		r.settled = r.stage == StageSucceeded && (now.Sub(r.stageBegan) >= settleTime || ends.others(r) == 0)
		list = append(list, r.transitions...)
		r.transitions = nil
	}
	return list
}

// maintain applies what is due: orders that were held back, lost or deleted, and versions
// that have no endpoints any more. It returns nil if the service has no rollout any more.
func (t *Table) maintain(now time.Time, r *rollout, ends Endpoints) *rollout {
	service := r.order.Service
	switch {
	case !r.nextAt.IsZero() && !now.Before(r.nextAt):
		t.replace(now, r, r.next, r.number+1)
	case !r.missing.IsZero() && !r.deleted && now.Sub(r.missing) >= orderHold:
		t.replace(now, r, nil, r.number+1)
	}
	r = t.services[service]
	if r.starting && now.Sub(r.known) >= startPeriod && !t.heard.IsZero() {
		r.starting = false // routers that know a number would have told it
	}
	if now.Sub(r.known) >= startPeriod {
		gone := func(version string, _ Stage) bool { return ends.Versions[version] == 0 }
		past := copyOf(r.past)
		if maps.DeleteFunc(past, gone); len(past) < len(r.past) {
			r.past = past
		}
	}
	if r.deleted && ends.Versions[r.order.To] == 0 && len(r.past) == 0 {
		delete(t.services, service)
		return nil
	}
	r.oldRunning = 0
	for version, n := range ends.Running {
		if version != r.order.To {
			r.oldRunning += n
		}
	}
	if !r.completeSeen {
		// The counts may have been taken before this router stopped using old endpoints.
		r.oldRunning = max(r.oldRunning, 1)
	}
	r.completeSeen = r.stage == StageComplete
	if ends.others(r) > 0 || ends.Versions[r.order.To] == 0 {
		r.noOthersAt = time.Time{}
	} else if r.noOthersAt.IsZero() {
		r.noOthersAt = now
	}
	return r
}

// judge compares the versions and rolls a bad one back.
func (t *Table) judge(now time.Time, r *rollout, ends Endpoints) {
	r.slow = r.tally.slowLimits()
	canary := canaryCount(canaryPart*t.limits.CanaryShare, ends.Versions[r.order.To], ends.others(r), 0)
	r.found = r.tally.judge(now, canary, r.loadTest)
	if r.found.bad {
		r.advance(now, StageRolledBack, r.found.reason, true, true)
	}
}

// decide advances the stage at the coordinator.
func (r *rollout) decide(now time.Time, ends Endpoints, heard []string) {
	limit, age := r.order.TimeLimit, now.Sub(r.began)
	end := limit - min(finishEarly, limit/10)
	enter := func(to Stage, reason string) { r.advance(now, to, reason, false, true) }
	switch {
	case ends.Versions[r.order.To] == 0:
		if age >= limit {
			enter(StageRolledBack, "no endpoints of the version at the time limit")
		}
	case age >= end && r.stage < StageRamp && r.noOthersAt.IsZero():
		enter(StageRolledBack, "undecided at the time limit in stage "+r.stage.String())
	case age >= end:
		enter(StageSucceeded, "not found to be bad until the time limit")
	case r.stage < StageComplete && !r.noOthersAt.IsZero() && now.Sub(r.noOthersAt) >= noOthersTime:
		enter(StageComplete, "no endpoints of other versions")
	case r.stage == StageUnknown:
		if r.mayBegin(now, heard) {
			enter(StageCanary, "")
		}
	case r.stage == StageCanary:
		r.decideCanary(now, age, end)
	case r.stage == StageRamp:
		if now.Sub(r.stageBegan) >= r.rampTime() {
			enter(StageComplete, "")
		}
	case r.drained(heard) && now.Sub(r.stageBegan) >= drainTime:
		enter(StageSucceeded, "not found to be bad")
	}
}

// mayBegin reports whether the canary stage may begin.
func (r *rollout) mayBegin(now time.Time, heard []string) bool {
	known := 0
	for _, name := range heard {
		if r.peers[name] != nil {
			known++
		}
	}
	elapsed := now.Sub(r.known)
	return elapsed >= startAlone || len(heard) > 0 && 2*known >= len(heard) && elapsed >= startQuorum
}

// decideCanary ends the canary stage. A version with bad answers but too little evidence
// for a verdict stays in it for a little longer, and is then judged less strictly.
func (r *rollout) decideCanary(now time.Time, age, end time.Duration) {
	half, begun := time.Duration(canaryUntil*float64(r.order.TimeLimit)), r.stageBegan.Sub(r.began)
	latest := max(half, end-r.rampTime()-drainTime)
	held := min(latest, max(half, begun+minCanary)+time.Duration(canaryHold*float64(r.order.TimeLimit)))
	if age < min(max(half, begun+minCanary), latest) {
		return
	}
	switch {
	case r.found.lateBad, r.found.heldBad && age >= held:
		r.advance(now, StageRolledBack, r.found.reason, true, true)
	case r.found.suspect && age < held:
	default:
		r.advance(now, StageRamp, "", false, true)
	}
}

// loadTestFrom returns the time since the order from which the load test runs.
func (r *rollout) loadTestFrom() time.Duration {
	return time.Duration((canaryUntil - loadTestShare) * float64(r.order.TimeLimit))
}

// drained reports whether no router runs requests on old endpoints.
func (r *rollout) drained(heard []string) bool {
	for _, name := range heard {
		if p := r.peers[name]; p == nil || p.stage < StageComplete || p.oldRunning > 0 {
			return false
		}
	}
	return r.oldRunning == 0
}
