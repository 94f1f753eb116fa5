package upstream

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/process/rollout"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Acquire chooses an endpoint and counts the request there. Draining and
// out-of-service marks are read under the lock in which the request is counted, so
// that nothing is sent to an endpoint out of service.
func (t *Table) Acquire(now time.Time, req balance.Request) (*balance.Grant, *balance.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(req.Exclude) == 0 {
		t.loadOf(req.Service).arrivals.Add(now)
	}
	e := t.eligibilityOf(req)
	g, refusal := t.choose(now, req, e.gate, e.parts[0], false)
	for _, next := range e.parts[1:] {
		if refusal == nil || next == noEndpoints || next == abandonedVersions && refusal.Code != outcome.NoEndpoint {
			break
		}
		g, refusal = t.choose(now, req, e.gate, next, true)
	}
	if refusal == nil {
		t.countRollout(now, e, g)
	}
	return g, refusal
}

// choose is Acquire for one part of a service's endpoints. again means that another part was tried
// before, with which the request was counted as demand.
func (t *Table) choose(now time.Time, req balance.Request, gate rollout.Gate, from part, again bool) (*balance.Grant, *balance.Refusal) {
	endpoints, refusal := t.usable(now, req, gate, from)
	if refusal != nil {
		return nil, refusal
	}
	list := t.candidates(now, endpoints, from)
	t.setPaces(now, req, endpoints, list)
	work := t.setPromptWork(now, req, endpoints, list)
	assigned := indexOf(endpoints, req.Assigned)
	if assigned >= 0 {
		t.recordAssigned(now, req, t.totalSlots(list), again)
	} else if t.shed(now, req, list, again) {
		return nil, t.refuseAtCapacity(now, req, list)
	}
	chosen, fetch, holders := -1, "", 0
	if assigned >= 0 {
		chosen = assigned
	} else if req.HasKey {
		holders = len(t.holders.of(now, req.Key))
		chosen, fetch = t.placeKey(now, req, endpoints, list, from, work)
	} else {
		chosen = balance.ShortestExpectedTime(list, t.staleness(req.Service), t.draw)
	}
	if chosen < 0 {
		return nil, t.refuseAtCapacity(now, req, list)
	}
	ep := endpoints[chosen]
	cold := t.inColdStart(now, ep)
	if cold || ep.restrictions.Limited {
		ep.recordSent(now)
	}
	running := int(ep.load(now))
	ep.updateSmoothed(now, t.heartbeatInterval)
	ep.running++
	g := &balance.Grant{ID: ep.ID, Started: ep.Started, Addr: ep.Addr, Zone: ep.Zone, Service: ep.Service, Version: ep.Version,
		FetchFrom: fetch, KeyCached: list[chosen].KeyCached, Holders: holders, Running: running, Cold: cold, Age: now.Sub(ep.readAt), ChosenAt: now, Class: req.Class}
	t.countReading(ep, g, req, fetch != "")
	return g, nil
}

// usable returns the endpoints of a part that may get the request, ordered by ID.
func (t *Table) usable(now time.Time, req balance.Request, gate rollout.Gate, from part) ([]*endpoint, *balance.Refusal) {
	healthy, ejected := t.healthy[:0], t.ejected[:0]
	t.limitedRate, t.roomRate = 0, 0
	var out unavailable
	for _, ep := range t.endpointsIn(now, req.Service, gate, from) {
		if !t.inService(ep, req) {
			continue
		}
		if ep.restrictions.Limited {
			q := t.limitQuota(ep)
			t.limitedRate += float64(t.share(ep, q.Total, true)) / q.Window.Seconds()
		} else if mean := t.loadOf(req.Service).serviceTimes.Mean(); mean > 0 && t.isBrittle(ep) {
			t.roomRate += float64(t.share(ep, int(t.roomOf(now, ep)), true)) / mean.Seconds()
		}
		pause := t.pausedFor(now, ep)
		ok, code, wait := t.hasQuota(now, ep)
		switch {
		case pause > 0:
			out.add(outcome.EndpointAtCap, pause)
		case !ok:
			out.add(code, wait)
		case now.Before(ep.health.ejectedUntil), t.isSuperseded(now, ep):
			ejected = append(ejected, ep)
		default:
			healthy = append(healthy, ep)
		}
	}
	t.healthy, t.ejected = healthy, ejected
	if len(healthy) == 0 {
		healthy = ejected // better than none; the registry may be wrong about one that is superseded
	}
	if len(healthy) > 0 {
		return healthy, nil
	}
	return nil, t.refuseUnavailable(now, req, out)
}

// inService reports whether an endpoint takes requests like req, whatever its load.
func (t *Table) inService(ep *endpoint, req balance.Request) bool {
	return !t.isDraining(ep) && !t.zonesOutOfService[ep.Zone] && ep.hasVersion(req.Version) && !contains(req.Exclude, ep.ID)
}

// hasVersion reports whether the endpoint may get a request that needs a version; nil
// is any.
func (e *endpoint) hasVersion(version *string) bool { return version == nil || e.Version == *version }

// ServiceDown reports whether some service was found without endpoints recently
// and has served nothing since.
func (t *Table) ServiceDown(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.downSince {
		if now.Sub(since) < 2*endpointRestartTime {
			return true
		}
	}
	return false
}

// CountHealthy counts the endpoints that a request could get, without cold ones.
func (t *Table) CountHealthy(now time.Time, req balance.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.eligibilityOf(req)
	for _, from := range e.parts {
		if from == noEndpoints {
			break
		}
		if n := t.countHealthy(now, req, e.gate, from); n > 0 {
			return n
		}
	}
	return 0
}

func (t *Table) countHealthy(now time.Time, req balance.Request, gate rollout.Gate, from part) int {
	n := 0
	for _, ep := range t.endpointsIn(now, req.Service, gate, from) {
		if !t.inService(ep, req) || t.pausedFor(now, ep) > 0 || now.Before(ep.health.ejectedUntil) || t.isSuperseded(now, ep) || t.inColdStart(now, ep) {
			continue
		}
		if ok, _, _ := t.hasQuota(now, ep); ok {
			n++
		}
	}
	return n
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (t *Table) candidates(now time.Time, endpoints []*endpoint, from part) []balance.Candidate {
	var median time.Duration
	if from == allEndpoints || from == currentVersions {
		median = t.medianLatency(now, endpoints)
	} else {
		median = computeMedianLatency(endpoints) // the cached one is that of the whole service
	}
	list := t.list[:0]
	for _, ep := range endpoints {
		list = append(list, balance.Candidate{ID: ep.ID, Running: ep.load(now), Slots: ep.Slots,
			Latency: ep.health.latency, RateLimited: ep.restrictions.Limited, Local: ep.Zone == t.cfg.Zone,
			Slow: ep.health.slow(now, median)})
	}
	t.list = list
	return list
}

// medianInterval is how long a median of latencies is cached. The latencies are
// smoothed over more than that.
const medianInterval = 100 * time.Millisecond

// medianLatency returns the median latency of the usable endpoints of a service, at
// most medianInterval old, or 0.
func (t *Table) medianLatency(now time.Time, endpoints []*endpoint) time.Duration {
	if len(endpoints) == 0 {
		return 0
	}
	load := t.loadOf(endpoints[0].Service)
	if now.Sub(load.medianAt) >= medianInterval {
		load.median, load.medianAt = computeMedianLatency(endpoints), now
	}
	return load.median
}

func computeMedianLatency(endpoints []*endpoint) time.Duration {
	all := make([]time.Duration, 0, len(endpoints))
	for _, ep := range endpoints {
		if ep.health.latencySamples >= minSamples {
			all = append(all, ep.health.latency)
		}
	}
	if len(all) < 2 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (t *Table) inColdStart(now time.Time, ep *endpoint) bool {
	return t.coldRate[ep.Service] > 0 && (now.Before(ep.coldUntil) || ep.health.maybeCold)
}

// placeKey chooses the endpoint of a prompt key and the endpoint from which it may
// fetch cache entries.
func (t *Table) placeKey(now time.Time, req balance.Request, endpoints []*endpoint, list []balance.Candidate, from part, work balance.PromptWork) (int, string) {
	holders := t.holders.of(now, req.Key)
	if len(holders) > 0 {
		for i := range list {
			_, list[i].KeyCached = holders[list[i].ID]
		}
	}
	bound, maxRunning := t.bounds(now, req.Service)
	maxRunning = partBound(from, maxRunning, list)
	chosen := balance.Affinity(req.Key, list, work.Bound(bound), maxRunning, t.draw)
	if chosen < 0 {
		return -1, ""
	}
	ep := endpoints[chosen]
	fetch := ""
	if !list[chosen].KeyCached {
		fetch = t.fetchSource(now, ep, holders)
	}
	t.holders.record(now, req.Key, ep.ID, true)
	return chosen, fetch
}

// bounds returns the bound of an endpoint's requests relative to the usable
// endpoints, and the largest number of requests that one may run. The latter is
// relative to all endpoints of the service: the mean includes those that are not usable. Endpoints
// that name a limit count only where all do, as the others have to carry what these cannot.
func (t *Table) bounds(now time.Time, service string) (balance.Bound, float64) {
	stale := t.staleness(service)
	bound := t.cfg.Bound.Between(t.cfg.StaleBound, stale)
	loadCap := balance.Bound{Factor: t.cfg.CapFactor, Extra: t.cfg.CapExtra}.Between(t.cfg.StaleBound, stale)
	sum, n, allLimited := 0.0, 0, true
	for _, ep := range t.endpointsOf(service) {
		if allLimited && !ep.restrictions.Limited {
			sum, n, allLimited = 0, 0, false
		}
		if allLimited || !ep.restrictions.Limited {
			sum += ep.load(now)
			n++
		}
	}
	if n == 0 || t.cfg.CapFactor <= 0 {
		return bound, 0
	}
	return bound, loadCap.Factor*sum/float64(n) + loadCap.Extra
}

// fetchSource returns the address of the least loaded endpoint that caches the key
// and cannot have restarted since, or "".
func (t *Table) fetchSource(now time.Time, to *endpoint, holders map[string]time.Time) string {
	var best *endpoint
	for id := range holders {
		from := t.byID[id]
		if from == nil {
			from = t.removed[id] // it still serves for a while after its entry is removed
		}
		if from == nil || from == to || from.Service != to.Service || from.health.maybeCold || t.isSuperseded(now, from) {
			continue
		}
		if best == nil || from.load(now) < best.load(now) || from.load(now) == best.load(now) && from.ID < best.ID {
			best = from
		}
	}
	if best == nil {
		return ""
	}
	return best.Addr
}

// load returns the requests that an endpoint is known to have: this router's, and the other
// routers' by their heartbeats or by the endpoint's report (without requests still being read) if higher.
func (e *endpoint) load(now time.Time) float64 {
	others := e.peerRunning
	if r := &e.report; now.Sub(r.at) < r.ttl {
		others = max(others, float64(r.others))
	}
	return float64(e.running) + others
}

// Release ends a grant and records its result. latency is the time to the first
// byte of the response; 0 if there was none. Release reports whether it ejected the
// endpoint.
func (t *Table) Release(now time.Time, g *balance.Grant, f balance.Failure, latency time.Duration) bool {
	t.recordAnswer(now, g, f, latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil {
		return false
	}
	ep.updateSmoothed(now, t.heartbeatInterval)
	ep.running = max(0, ep.running-1)
	ep.freeReading(g)
	if ep.Started != g.Started {
		return false
	}
	if f == balance.NoFailure {
		delete(t.downSince, ep.Service)
		t.loadOf(ep.Service).serviceTimes.Add(g.Class, latency, now.Sub(g.ChosenAt))
	}
	wasEjected := now.Before(ep.health.ejectedUntil)
	ep.health.record(now, f, latency, now.Sub(g.ChosenAt), g.Pace)
	if f == balance.ServerError || f == balance.Broken || f == balance.TimedOut {
		ep.health.ejectIfErring(now, t.othersErrorRate(ep))
	}
	return !wasEjected && now.Before(ep.health.ejectedUntil)
}

// RecordUnreachable ejects an endpoint to which no connection could be opened.
func (t *Table) RecordUnreachable(now time.Time, g *balance.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ep := t.byID[g.ID]; ep != nil && ep.Started == g.Started {
		ep.health.record(now, balance.NotReached, 0, 0, 0)
	}
}

// ForgetUnreachable drops what failures since a time showed of the endpoints of a service,
// because the links of this router had failed.
func (t *Table) ForgetUnreachable(service string, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ep := range t.endpointsOf(service) {
		ep.health.forgetFailures(since)
	}
	delete(t.downSince, service)
}

// Addresses returns the addresses of a service's endpoints that are in service, by id.
func (t *Table) Addresses(service string) map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make(map[string]string)
	for _, ep := range t.endpointsOf(service) {
		if t.inService(ep, balance.Request{}) {
			list[ep.ID] = ep.Addr
		}
	}
	return list
}

// DownSince reports whether the process of the endpoint is known to have ended: its
// address belongs to another one that is not known to be older, or no connection could be
// opened at some time after since.
func (t *Table) DownSince(since time.Time, g *balance.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ep := range t.endpointsOf(g.Service) {
		same := ep.ID == g.ID && ep.Started == g.Started
		older := ep.supersession.by == Incarnation{g.ID, g.Started}
		if same && ep.health.unreachableAt.After(since) || !same && !older && ep.Addr == g.Addr {
			return true
		}
	}
	return false
}

// probeInterval is the shortest time between two probes of an endpoint.
const probeInterval = time.Second

// Probe reports whether to open a connection to an endpoint that has not responded to this
// router since a request was sent to it, in order to find out whether it still runs. It
// allows one probe in probeInterval.
func (t *Table) Probe(now, since time.Time, g *balance.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil || ep.Started != g.Started || ep.respondedAt.After(since) || now.Sub(ep.probedAt) < probeInterval {
		return false
	}
	ep.probedAt = now
	return true
}

func (t *Table) othersErrorRate(self *endpoint) float64 {
	sum, n := 0.0, 0
	for _, ep := range t.endpointsOf(self.Service) {
		if ep != self && !t.isDraining(ep) {
			sum += ep.health.errorRate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
