package upstream

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	coldWindow   = time.Second
	coldFraction = 0.85 // of the bound that is shared out; the rest covers routers unknown yet
)

// Acquire chooses an endpoint and counts the request there. All marks are read under the lock in which the
// request is counted, so that nothing leaves for an endpoint that is out.
func (t *Table) Acquire(now time.Time, w balance.Request) (*balance.Grant, *balance.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	eps, refusal := t.usable(now, w)
	if refusal != nil {
		return nil, refusal
	}
	list := t.candidates(now, eps)
	if t.crowded(now, w, list) {
		return nil, t.refuseFull(now, w, list)
	}
	chosen, fetch, holders := -1, "", 0
	if w.HasKey {
		holders = len(t.holders.of(now, w.Key))
		chosen, fetch = t.placeKey(now, w, eps, list)
	} else {
		chosen = balance.LeastBusy(list, t.draw())
	}
	if chosen < 0 {
		return nil, t.refuseFull(now, w, list)
	}
	ep := eps[chosen]
	cold := t.coldNow(now, ep)
	if cold {
		ep.coldSends = append(ep.coldSends, now)
	}
	running := int(ep.load(now))
	ep.settle(now, t.beats)
	ep.running++
	return &balance.Grant{ID: ep.ID, Started: ep.Started, Addr: ep.Addr, Zone: ep.Zone, Service: ep.Service,
		FetchFrom: fetch, KeyCached: list[chosen].KeyCached, Holders: holders, Running: running, Cold: cold, Age: now.Sub(ep.readAt), ChosenAt: now, Class: w.Class}, nil
}

// usable returns the endpoints that may get the request, in the order of
// their ids.
func (t *Table) usable(now time.Time, w balance.Request) ([]*endpoint, *balance.Refusal) {
	sound, ailing := t.sound[:0], t.ailing[:0]
	cold := 0
	for _, ep := range t.of(w.Service) {
		if ep.Draining || t.out[ep.Zone] {
			continue
		}
		switch {
		case contains(w.Exclude, ep.ID):
		case t.coldNow(now, ep) && !t.coldRoom(now, ep):
			cold++
		case now.Before(ep.health.outUntil):
			ailing = append(ailing, ep)
		default:
			sound = append(sound, ep)
		}
	}
	t.sound, t.ailing = sound, ailing
	if len(sound) == 0 {
		sound = ailing // a doubtful endpoint is better than none
	}
	if len(sound) == 0 {
		code := outcome.NoEndpoint
		if cold > 0 {
			code = outcome.EndpointCold
		}
		return nil, &balance.Refusal{Code: code, RetryAfter: t.retryAfter(now, w.Service, code)}
	}
	return sound, nil
}

// ServiceDown reports whether some service was found without endpoints a moment ago
// and has served nothing since.
func (t *Table) ServiceDown(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.darkSince {
		if now.Sub(since) < 2*restartTime {
			return true
		}
	}
	return false
}

const (
	// restartTime is how long an endpoint that crashed usually takes to serve again.
	restartTime = 2500 * time.Millisecond
	// leastRetry is the shortest time after which a service without endpoints is
	// worth asking again.
	leastRetry = 600 * time.Millisecond
	// retrySpread is the part of a retry time over which callers are spread, so
	// that they do not come back together.
	retrySpread = 0.4
)

// retryAfter returns when a caller should ask again for a service that has no
// endpoint now: when a cold endpoint has room, or when those that went away are
// likely to be back.
func (t *Table) retryAfter(now time.Time, service string, code outcome.Code) time.Duration {
	wait := coldWindow / 2
	if code != outcome.EndpointCold {
		since, ok := t.darkSince[service]
		if !ok || now.Sub(since) > 2*restartTime {
			since = now
			t.darkSince[service] = now
		}
		wait = max(leastRetry, restartTime-now.Sub(since))
	}
	return time.Duration(float64(wait) * (1 + retrySpread*t.draw()))
}

// Candidates returns how many sound endpoints a request could get.
func (t *Table) Candidates(now time.Time, w balance.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, ep := range t.of(w.Service) {
		if !ep.Draining && !t.out[ep.Zone] && !contains(w.Exclude, ep.ID) &&
			!now.Before(ep.health.outUntil) && !t.coldNow(now, ep) {
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

func (t *Table) candidates(now time.Time, eps []*endpoint) []balance.Candidate {
	median := t.medianLatency(now, eps)
	list := t.list[:0]
	for _, ep := range eps {
		list = append(list, balance.Candidate{ID: ep.ID, Running: ep.load(now), Slots: ep.Slots,
			Latency: ep.health.latency, Local: ep.Zone == t.cfg.Zone,
			Slow: ep.health.slow(now, median)})
	}
	t.list = list
	return list
}

// medianEvery is how long a median of latencies is used. The latencies are
// smoothed over more than that.
const medianEvery = 100 * time.Millisecond

// medianLatency returns the median latency of the endpoints of a service, as it
// was a moment ago, or 0.
func (t *Table) medianLatency(now time.Time, eps []*endpoint) time.Duration {
	if len(eps) == 0 {
		return 0
	}
	load := t.loadOf(eps[0].Service)
	if now.Sub(load.medianAt) >= medianEvery {
		load.median, load.medianAt = medianLatency(eps), now
	}
	return load.median
}

func medianLatency(eps []*endpoint) time.Duration {
	all := make([]time.Duration, 0, len(eps))
	for _, ep := range eps {
		if ep.health.latencyN >= fewestSamples {
			all = append(all, ep.health.latency)
		}
	}
	if len(all) < 2 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (t *Table) coldNow(now time.Time, ep *endpoint) bool {
	return t.coldRate[ep.Service] > 0 && (now.Before(ep.coldUntil) || ep.health.unproven)
}

// coldRoom reports whether this router's share of a cold endpoint's rate has
// room in the second that ends now.
func (t *Table) coldRoom(now time.Time, ep *endpoint) bool {
	kept := ep.coldSends[:0]
	for _, at := range ep.coldSends {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	ep.coldSends = kept
	return len(kept) < t.coldShare(ep)
}

// coldShare returns the requests a second that this router may send to a cold
// endpoint. The bound is divided into whole requests; those that remain go to
// the routers that rendezvous hashing ranks first for the endpoint, so that all
// routers divide it the same way without a message.
func (t *Table) coldShare(ep *endpoint) int {
	all := int((t.coldRate[ep.Service]*t.cfg.ColdOver + t.cfg.ColdSlack) * coldFraction)
	members := len(t.others) + 1
	share := all / members
	seed := xxhash.Sum64String(ep.ID)
	own, before := balance.RendezvousWeight(seed, t.self), 0
	for _, name := range t.others {
		if balance.RendezvousWeight(seed, name) > own {
			before++
		}
	}
	if before < all%members {
		share++
	}
	return share
}

// placeKey chooses the endpoint of a prompt key and the endpoint from which it
// may fetch cache entries.
func (t *Table) placeKey(now time.Time, w balance.Request, eps []*endpoint, list []balance.Candidate) (int, string) {
	holders := t.holders.of(now, w.Key)
	if len(holders) > 0 {
		for i := range list {
			_, list[i].KeyCached = holders[list[i].ID]
		}
	}
	bound, most := t.bounds(now, w.Service)
	chosen := balance.Affinity(w.Key, list, bound, most, t.draw)
	if chosen < 0 {
		return -1, ""
	}
	ep := eps[chosen]
	fetch := ""
	if !list[chosen].KeyCached {
		fetch = t.source(now, ep, holders)
	}
	t.holders.note(now, w.Key, ep.ID, true)
	return chosen, fetch
}

// bounds returns the bound of an endpoint's requests relative to the usable
// ones, and the most requests that one may run. The latter is relative to all
// endpoints of the service, as those without requests count in the mean too.
func (t *Table) bounds(now time.Time, service string) (balance.Bound, float64) {
	bound := t.cfg.Bound
	limit := balance.Bound{Factor: t.cfg.CapFactor, Extra: t.cfg.CapExtra}
	if t.cfg.StaleInterval > 0 && t.beats > t.cfg.StaleInterval {
		bound, limit = t.cfg.StaleBound, t.cfg.StaleBound
	}
	sum, n := 0.0, 0
	for _, ep := range t.of(service) {
		sum += ep.load(now)
		n++
	}
	if n == 0 || limit.Factor <= 0 {
		return bound, 0
	}
	return bound, limit.Factor*sum/float64(n) + limit.Extra
}

// source returns the address of the least loaded endpoint that holds the key
// and can be reached, or "".
func (t *Table) source(now time.Time, to *endpoint, holders map[string]time.Time) string {
	var best *endpoint
	for id := range holders {
		from := t.byID[id]
		if from == nil {
			from = t.gone[id] // it goes on serving for a while after its entry is removed
		}
		if from == nil || from == to || from.Service != to.Service || from.health.unproven {
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

// load returns the requests that an endpoint is known to have. What it tells
// itself leaves out requests that are still being read in.
func (e *endpoint) load(now time.Time) float64 {
	others := e.peers
	if now.Sub(e.toldAt) < e.toldFor {
		others = max(others, float64(e.told))
	}
	return float64(e.running) + others
}

// RecordLoad notes how many requests an endpoint said that it runs and queues.
func (t *Table) RecordLoad(now time.Time, g *balance.Grant, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ep := t.byID[g.ID]; ep != nil && ep.Started == g.Started {
		ep.told, ep.toldAt, ep.toldFor = max(0, requests-ep.running), now, t.beats/2
	}
}

// Release ends the use of an endpoint and notes how it did. latency is the
// time to the first byte of the answer; 0 if there was none. It reports whether
// the endpoint is left out from now on.
func (t *Table) Release(now time.Time, g *balance.Grant, f balance.Failure, latency time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil {
		return false
	}
	ep.settle(now, t.beats)
	ep.running = max(0, ep.running-1)
	if ep.Started != g.Started {
		return false
	}
	if f == balance.NoFailure {
		delete(t.darkSince, ep.Service)
		t.loadOf(ep.Service).work.Add(g.Class, latency, now.Sub(g.ChosenAt))
	}
	was := now.Before(ep.health.outUntil)
	ep.health.record(now, f, latency)
	if f == balance.ServerError || f == balance.Broken || f == balance.TimedOut {
		ep.health.checkErring(now, t.othersErrorRate(ep))
	}
	return !was && now.Before(ep.health.outUntil)
}

func (t *Table) othersErrorRate(self *endpoint) float64 {
	sum, n := 0.0, 0
	for _, ep := range t.of(self.Service) {
		if ep != self && !ep.Draining {
			sum += ep.health.errorRate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
