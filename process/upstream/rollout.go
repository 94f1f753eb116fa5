package upstream

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/process/rollout"
	"github.com/stoatmount/stoatmount/request/balance"
)

// Rollouts knows which services have a rollout, and counts their requests and answers. Its methods may be called
// with Table.mu held. rollout.Table implements it.
type Rollouts interface {
	Gate(service string) (g rollout.Gate, ok bool)
	CountRequest(now time.Time, service string, canary bool)
	RecordAnswer(now time.Time, a rollout.Answer)
	RecordFirstByte(now time.Time, a rollout.Answer)
	SlowAfter(service, route, zone string) time.Duration
	RecordOverdue(now time.Time, a rollout.Answer)
}

// SetRollouts sets what decides about rollouts. It is called before the first request.
func (t *Table) SetRollouts(r Rollouts) { t.rollouts = r }

// part is a part of a service's endpoints, by software version.
type part int

const (
	noEndpoints part = iota
	allEndpoints
	currentVersions   // all but those of earlier orders that did not succeed
	otherVersions     // the same without the ordered one
	orderedVersion    // all of the ordered one
	canaryEndpoints   // those of the ordered one that take the canary requests
	abandonedVersions // of earlier orders that neither succeeded nor were rolled back
)

// eligibility is which endpoints may get a request while its service has a rollout.
type eligibility struct {
	gate  rollout.Gate
	gated bool    // the service has a rollout
	parts [3]part // in the order in which they are tried, up to the first noEndpoints
}

// eligibilityOf returns which endpoints may get a request. A stream that goes on stays at its version
// unless that is rolled back.
func (t *Table) eligibilityOf(req balance.Request) eligibility {
	e := eligibility{parts: [3]part{allEndpoints}}
	if t.rollouts == nil {
		return e
	}
	if e.gate, e.gated = t.rollouts.Gate(req.Service); !e.gated {
		return e
	}
	stage := e.gate.Stage
	switch {
	case req.Version != nil:
		if class := e.gate.Class(*req.Version); class == rollout.Condemned || class == rollout.Ordered && stage == rollout.StageRolledBack {
			e.parts = [3]part{}
		}
	case stage == rollout.StageSucceeded:
		e.parts = [3]part{currentVersions, abandonedVersions}
	case stage == rollout.StageRolledBack:
		e.parts = [3]part{otherVersions, abandonedVersions}
	case stage == rollout.StageComplete && t.hasClass(req.Service, e.gate, rollout.Ordered):
		e.parts = [3]part{orderedVersion}
	case stage == rollout.StageComplete:
		e.parts = [3]part{otherVersions, abandonedVersions}
	case stage == rollout.StageRamp && isSelected(e.gate, req):
		e.parts = [3]part{orderedVersion, otherVersions, abandonedVersions}
	case stage == rollout.StageRamp:
		e.parts = [3]part{otherVersions, orderedVersion, abandonedVersions}
	case !t.hasClass(req.Service, e.gate, rollout.Other):
		e.parts = [3]part{currentVersions, abandonedVersions}
	case stage == rollout.StageCanary && e.gate.MayCanary && isSelected(e.gate, req):
		e.parts = [3]part{canaryEndpoints, otherVersions, abandonedVersions}
	default: // in the canary stage, or the stage is unknown
		e.parts = [3]part{otherVersions, abandonedVersions}
	}
	return e
}

// isSelected reports whether a request is among those that the ordered version gets. Retries are not, so
// that a request fails at most once because of a bad version.
func isSelected(g rollout.Gate, req balance.Request) bool {
	if req.Retry || len(req.Exclude) > 0 {
		return false
	}
	key := req.IDHash
	if req.HasKey {
		key = req.Key
	}
	return rollout.Selected(g.Seed, strconv.FormatUint(key, 16), g.Share)
}

// hasClass reports whether a service has an endpoint whose version is of a class.
func (t *Table) hasClass(service string, g rollout.Gate, class rollout.Class) bool {
	for _, ep := range t.endpointsOf(service) {
		if g.Class(ep.Version) == class {
			return true
		}
	}
	return false
}

// endpointsIn returns the endpoints of a part, ordered by ID. It is valid until the next call.
func (t *Table) endpointsIn(now time.Time, service string, g rollout.Gate, from part) []*endpoint {
	all := t.endpointsOf(service)
	if from == allEndpoints {
		return all
	}
	var canaries []string
	if from == canaryEndpoints {
		canaries = t.canaries(now, service, g)
	}
	list := t.eligible[:0]
	for _, ep := range all {
		class, in := g.Class(ep.Version), false
		switch from {
		case currentVersions:
			in = class == rollout.Other || class == rollout.Ordered
		case otherVersions:
			in = class == rollout.Other
		case orderedVersion:
			in = class == rollout.Ordered
		case abandonedVersions:
			in = class == rollout.Abandoned
		case canaryEndpoints:
			in = slices.Contains(canaries, ep.ID)
		}
		if in {
			list = append(list, ep)
		}
	}
	t.eligible = list
	return list
}

// canaries returns the ids of the endpoints that take canary requests. One that cannot be reached is
// replaced by another; one that returns errors is not, as its version is judged by them.
func (t *Table) canaries(now time.Time, service string, g rollout.Gate) []string {
	var usable []rollout.Candidate
	old, slots, running := 0, 0, 0.0
	for _, ep := range t.endpointsOf(service) {
		switch {
		case !t.inService(ep, balance.Request{}):
		case ep.Version != g.To:
			if g.Class(ep.Version) == rollout.Other {
				old++
				slots += ep.Slots
				running += ep.load(now)
			}
		case t.isSuperseded(now, ep), now.Sub(ep.health.unreachableAt) < unreachableEjection:
		default:
			usable = append(usable, rollout.Candidate{ID: ep.ID, Zone: ep.Zone})
		}
	}
	load := 0.0
	if mean := running / float64(max(old, 1)); g.LoadTest && mean > 0 {
		load = rollout.LoadTestSlots * float64(slots) / float64(max(old, 1)) / mean
	}
	return rollout.CanaryEndpoints(g.Seed, g.CanaryShare, usable, old, load)
}

// countRollout counts a request to a service with a rollout.
func (t *Table) countRollout(now time.Time, e eligibility, g *balance.Grant) {
	if e.gated {
		t.rollouts.CountRequest(now, g.Service, g.Version == e.gate.To)
	}
}

// recordAnswer records the result of a grant as evidence about its version. An attempt that ended because its
// endpoint was late counts as an answer that took as long, or slow versions would hide their slowest answers.
func (t *Table) recordAnswer(now time.Time, g *balance.Grant, f balance.Failure, latency time.Duration) {
	if t.rollouts == nil || f != balance.NoFailure && f != balance.ServerError && f != balance.TimedOut {
		return
	}
	a := answerOf(g)
	a.Failed, a.Total = g.Status >= http.StatusInternalServerError, now.Sub(g.ChosenAt)
	if !g.FirstByteCounted {
		a.FirstByte = latency
	}
	t.rollouts.RecordAnswer(now, a)
}

// answerOf returns what is known of the answer to a request before it comes.
func answerOf(g *balance.Grant) rollout.Answer {
	return rollout.Answer{Service: g.Service, Version: g.Version, Route: g.Class, Endpoint: g.ID, Zone: g.Zone, Cold: g.Cold}
}

// RecordFirstByte records that the response to a request has begun.
func (t *Table) RecordFirstByte(now time.Time, g *balance.Grant, latency time.Duration) {
	if t.rollouts == nil {
		return
	}
	a := answerOf(g)
	a.FirstByte = latency
	t.rollouts.RecordFirstByte(now, a)
}

// OverdueAfter returns the time after which a response of the ordered version is slow. It is 0 for other versions.
func (t *Table) OverdueAfter(g *balance.Grant) time.Duration {
	if t.rollouts == nil {
		return 0
	}
	if gate, ok := t.rollouts.Gate(g.Service); !ok || gate.To != g.Version {
		return 0
	}
	return t.rollouts.SlowAfter(g.Service, g.Class, g.Zone)
}

// RecordOverdue records that a response has not begun after OverdueAfter.
func (t *Table) RecordOverdue(now time.Time, g *balance.Grant) {
	t.rollouts.RecordOverdue(now, answerOf(g))
}

// CountVersions counts the endpoints of a service and this router's requests there, by version.
func (t *Table) CountVersions(service string) rollout.Endpoints {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := rollout.Endpoints{Versions: make(map[string]int), Running: make(map[string]int)}
	for _, ep := range t.endpointsOf(service) {
		n.Versions[ep.Version]++
		n.Running[ep.Version] += ep.running
	}
	for _, ep := range t.removed {
		if ep.Service == service {
			n.Running[ep.Version] += ep.running
		}
	}
	return n
}

// While a part of a service's endpoints takes its requests, the others idle and lower the mean of all, which
// may then be below that of the part. The bound on an endpoint's requests is at least partFactor times the
// part's own mean plus partExtra: less would send each request elsewhere, to endpoints without its prompt.
const (
	partFactor = 1.15
	partExtra  = 0.5
)

// partBound returns the largest number of requests that an endpoint of a part may run. maxRunning is that of all
// endpoints. Canary endpoints are loaded on purpose and have no such bound.
func partBound(from part, maxRunning float64, list []balance.Candidate) float64 {
	switch {
	case from == canaryEndpoints || maxRunning <= 0:
		return 0
	case from == allEndpoints || from == currentVersions || len(list) == 0:
		return maxRunning
	}
	sum := 0.0
	for i := range list {
		sum += list[i].Running
	}
	return max(maxRunning, partFactor*sum/float64(len(list))+partExtra)
}
