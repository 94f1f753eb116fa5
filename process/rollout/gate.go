package rollout

import "time"

const (
	// canaryPart is the share of the requests that are selected for the canary stage,
	// relative to the limit CanaryShare.
	canaryPart = 0.8
	// loadTestPart is the same during the load test. It is smaller because the endpoints of the load test
	// run more than twice the mean of their service, which few requests may meet.
	loadTestPart = 0.45
	// LoadTestSlots is the share of its slots that an endpoint of the load test runs. Versions that fail
	// only under load did so from two fifths of the slots on.
	LoadTestSlots = 0.5
	// ownPart is the largest share of its own requests that a router sends to the canary,
	// relative to CanaryShare. It is below 1 for requests that the router counts late.
	ownPart = 0.9
	// fleetPart is the share of the fleet's requests, relative to CanaryShare, up to which
	// a router may send ownCredit requests beyond its own bound. Without them, routers with
	// few requests would send their first canary request only after 12 others.
	fleetPart = 0.75
	ownCredit = 2
	// fullSlack is the slack from which on the credits of all routers are whole.
	fullSlack = 50
	// overdueFactor makes the time recorded for an overdue answer exceed the limit of slow
	// answers, also if that grew in the meantime.
	overdueFactor = 2
	// rampTime is the longest time in which the share grows to 1, rampShare the same as a
	// share of the time limit.
	rampTime  = 3 * time.Second
	rampShare = 0.2
)

// Gate is what the choice of an endpoint needs. In StageUnknown, also used while the
// router is out of touch or the order was deleted, requests go to other versions while
// there are any. In StageCanary and StageRamp, a request goes to the ordered version if
// Selected(Seed, key, Share) and, in StageCanary, MayCanary. In StageComplete, also used
// just after a success, it goes to the ordered version while that has endpoints, in
// StageRolledBack never. StageSucceeded restricts nothing but what Class says.
type Gate struct {
	To          string
	Stage       Stage
	Share       float64
	CanaryShare float64 // the share of StageCanary, for CanaryEndpoints
	Seed        uint64
	MayCanary   bool // the router's own bound allows one more canary request
	// LoadTest is set in the last part of the canary stage, in which so few canary endpoints get the
	// requests that each runs LoadTestSlots of its slots.
	LoadTest bool

	past map[string]Stage
}

// Class is how a version stands under a Gate.
type Class int

// The classes of versions.
const (
	Other     Class = iota // an old version, or any other that is in service
	Ordered                // the version of the order: Gate.Stage applies
	Abandoned              // of an earlier, unfinished order: only if no Other or Ordered endpoint can serve
	Condemned              // of an earlier order that was rolled back: gets no requests
)

// Class returns how a version stands.
func (g Gate) Class(version string) Class {
	if version == g.To {
		return Ordered
	}
	return classOf(g.past, version)
}

// classOf returns the class of a version that is not the ordered one.
func classOf(past map[string]Stage, version string) Class {
	stage, ok := past[version]
	switch {
	case !ok:
		return Other
	case stage == StageRolledBack:
		return Condemned
	default:
		return Abandoned
	}
}

// Gate returns what the choice of an endpoint needs; false if the service has no rollout.
func (t *Table) Gate(service string) (g Gate, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil {
		return Gate{}, false
	}
	g = Gate{
		To: r.order.To, Stage: r.stage, Share: r.share, CanaryShare: canaryPart * t.limits.CanaryShare, Seed: r.seed,
		past: r.past, LoadTest: r.loadTest,
	}
	if g.LoadTest {
		g.CanaryShare = loadTestPart * t.limits.CanaryShare
	}
	switch {
	case r.stage == StageRolledBack:
		g.Share = 0
	case r.stage == StageSucceeded && !r.deleted && !r.settled:
		g.Stage, g.Share = StageComplete, 1
	case r.stage == StageSucceeded:
	case r.deleted || t.outOfTouch:
		g.Stage, g.Share = StageUnknown, 0
	}
	g.MayCanary = g.Stage == StageCanary && t.mayCanary(r)
	return g, true
}

// mayCanary reports whether the router may send one more canary request. The bound of
// each router holds for the sum over the fleet. Rounding it up at a share of the routers,
// by a hash of their name, makes the sum correct on average, also if each has few requests.
func (t *Table) mayCanary(r *rollout) bool {
	next := float64(r.own.Canary + 1)
	bound := ownPart * t.limits.CanaryShare * float64(r.own.Requests)
	credit := min(1, t.limits.CanarySlack/fullSlack)
	if next <= bound+credit*unit(r.seed, t.self) {
		return true
	}
	return next <= bound+credit*ownCredit &&
		float64(r.tally.canary) <= fleetPart*t.limits.CanaryShare*float64(r.tally.requests)
}

// shareAt returns the share of the requests that the stage gives the ordered version.
func (t *Table) shareAt(now time.Time, r *rollout) float64 {
	start := canaryPart * t.limits.CanaryShare
	switch r.stage {
	case StageCanary:
		if r.loadTest {
			return loadTestPart * t.limits.CanaryShare
		}
		return start
	case StageRamp:
		part := min(1, max(0, now.Sub(r.stageBegan).Seconds()/r.rampTime().Seconds()))
		return start + (1-start)*part*part // slowly at first, as a version may turn bad only now
	case StageComplete, StageSucceeded:
		return 1
	default:
		return 0
	}
}

// rampTime returns the time in which the share grows to 1.
func (r *rollout) rampTime() time.Duration {
	return min(rampTime, time.Duration(rampShare*float64(r.order.TimeLimit)))
}

// CountRequest counts a request to a service with a rollout when it is first sent, and
// whether it goes to the ordered version. Gate and CountRequest together are not atomic;
// call them under one lock if the bound has to hold exactly.
func (t *Table) CountRequest(now time.Time, service string, canary bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil || r.deleted || r.stage.Final() {
		return
	}
	r.own.Requests++
	r.tally.requests++
	if canary {
		r.own.Canary++
		r.tally.canary++
	}
}

// RecordAnswer counts an answer of any version of a service with a rollout when it ends.
// Its FirstByte is 0 if RecordFirstByte counted it before.
func (t *Table) RecordAnswer(now time.Time, a Answer) {
	t.recordBoth(now, &a, (*Cell).record)
}

// RecordFirstByte counts the time to the first byte of an answer that has not ended and
// whose status is not 5xx. Streams that take long to end are judged earlier by this.
func (t *Table) RecordFirstByte(now time.Time, a Answer) {
	a.Total, a.Failed = 0, false
	t.recordBoth(now, &a, (*Cell).recordTimes)
}

// SlowAfter returns the time to the first byte from which on an answer is slow, for
// RecordOverdue. It is 0 if the old version has no answers on the route in the zone.
func (t *Table) SlowAfter(service, route, zone string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil || r.stage.Final() {
		return 0
	}
	return time.Duration(r.slow[cellKey(zone, route)][slowFirstByte] * float64(time.Millisecond))
}

// RecordOverdue counts an answer whose first byte has not come within SlowAfter as slow,
// instead of RecordFirstByte when it comes. It is meant for requests to the ordered
// version: a slow version is found earlier if its slow answers need not be waited for.
func (t *Table) RecordOverdue(now time.Time, a Answer) {
	slow := t.SlowAfter(a.Service, a.Route, a.Zone)
	if slow == 0 {
		return
	}
	a.FirstByte = overdueFactor * slow
	t.RecordFirstByte(now, a)
}

// recordBoth counts an answer in the router's own counts and in the sum.
func (t *Table) recordBoth(now time.Time, a *Answer, record func(*Cell, *Answer, *limits)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[a.Service]
	if r == nil || r.deleted || r.stage.Final() {
		return
	}
	version := newVersion
	if a.Version != r.order.To {
		version = oldVersion
		if classOf(r.past, a.Version) != Other {
			return
		}
	}
	key := cellKey(a.Zone, a.Route)
	part, total := r.tally.cell(now, key)
	if part == nil {
		return
	}
	ownKey := versionDigits[version:version+1] + key
	own := r.own.Cells[ownKey]
	if own == nil {
		own = new(Cell)
		r.own.Cells[ownKey] = own
	}
	slow := r.slow[key]
	for _, c := range [...]*Cell{&part[version], &total[version], own} {
		record(c, a, &slow)
	}
	if version == newVersion {
		r.recordEndpoint(key, a)
	}
}

// record counts an answer. Failed answers are left out of the histograms because they
// arrive at other times than complete ones.
func (c *Cell) record(a *Answer, slow *limits) {
	c.Answers++
	if a.Failed {
		c.Failures++
		return
	}
	c.recordTimes(a, slow)
}

// recordTimes counts the times of an answer.
func (c *Cell) recordTimes(a *Answer, slow *limits) {
	if a.Cold {
		return
	}
	if a.FirstByte > 0 {
		c.FirstByte.add(a.FirstByte)
	}
	if a.Total > 0 {
		c.Total.add(a.Total)
	}
	for k := slowFirstByte; k < kinds; k++ {
		if compared, isSlow := slow.check(k, a); compared {
			i := 2 * int(k-slowFirstByte)
			c.Compared[i]++
			if isSlow {
				c.Compared[i+1]++
			}
		}
	}
}

// check returns whether the time of an answer can be compared with its limit, and whether
// it is slow.
func (l *limits) check(k kind, a *Answer) (compared, slow bool) {
	d := a.FirstByte
	if k == slowTotal {
		d = a.Total
	}
	return d > 0 && l[k] > 0, float64(d) > l[k]*float64(time.Millisecond)
}

// recordEndpoint counts an answer of the ordered version by endpoint.
func (r *rollout) recordEndpoint(key string, a *Answer) {
	id := endpointKey(a.Endpoint)
	own, known := r.own.Endpoints[id]
	if !known && len(r.own.Endpoints) >= maxEndpoints {
		return
	}
	limits, slow := r.slow[key], false
	for k := slowFirstByte; k < kinds; k++ {
		compared, isSlow := limits.check(k, a)
		slow = slow || compared && isSlow
	}
	sum := r.tally.endpoints[id]
	for _, c := range [...]*EndpointCounts{&own, &sum} {
		c[0]++
		switch {
		case a.Failed:
			c[1]++
		case !a.Cold && slow:
			c[2]++
		}
	}
	r.own.Endpoints[id], r.tally.endpoints[id] = own, sum
}
