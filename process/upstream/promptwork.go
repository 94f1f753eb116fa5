package upstream

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	// readingUnit is the unit of tokens in heartbeats.
	readingUnit = 100
	// maxReadingTold bounds the endpoints with tokens in a heartbeat, which is not sent if it is too large.
	maxReadingTold = 200
)

// Engine is what the choice of endpoints needs to know of the engines of a service.
type Engine struct {
	CacheMovable bool // an engine fetches the cache entries of a prompt from another one
}

// SetEngines sets the services whose endpoints are engines.
func (t *Table) SetEngines(engines map[string]Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engines = engines
}

// countsPromptWork reports whether the prompts that wait at the endpoints of a service are counted:
// it has engines, and it reports paces or the deployment says that capacity is scarce.
func (t *Table) countsPromptWork(service string) bool {
	if _, ok := t.engines[service]; !ok {
		return false
	}
	return t.cfg.ScarceCapacity || t.loadOf(service).paced
}

// setPromptWork adds the prompts that wait at the candidates, and returns the bound with the largest waits
// behind these.
func (t *Table) setPromptWork(now time.Time, req balance.Request, endpoints []*endpoint, list []balance.Candidate) balance.PromptWork {
	if !t.countsPromptWork(req.Service) {
		return balance.PromptWork{}
	}
	work := balance.PromptWork{Objective: req.Objective, ServiceTime: t.serviceTime(req.Service),
		TokensPerMS: t.loadOf(req.Service).readRate.tokensPerMS(), Tokens: req.Tokens, Shared: req.Shared}
	for i, ep := range endpoints {
		list[i].Reading = ep.pendingTokens()
	}
	work.Apply(list)
	return work
}

// pendingTokens returns the prompt tokens that wait at an endpoint, of all routers as far as known.
func (e *endpoint) pendingTokens() float64 { return float64(e.reading) + e.peerReading }

// countReading counts the tokens that an endpoint has to read for a new grant. fetches means that it takes
// the cache entries of the key from another one.
func (t *Table) countReading(ep *endpoint, g *balance.Grant, req balance.Request, fetches bool) {
	if !t.countsPromptWork(req.Service) {
		return
	}
	g.ReadingBefore, g.Reading = ep.pendingTokens(), req.Tokens
	if req.HasKey && (g.KeyCached || fetches && t.engines[req.Service].CacheMovable) {
		g.Reading = max(0, req.Tokens-req.Shared)
	}
	ep.reading += g.Reading
}

// RecordFirstEvent records that the endpoint has read the prompt of a request.
func (t *Table) RecordFirstEvent(now time.Time, g *balance.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Reading == 0 && g.ReadingBefore == 0 {
		return
	}
	pace := g.Pace
	if pace == 0 {
		pace = 1
	}
	t.loadOf(g.Service).readRate.add(float64(g.Reading), g.ReadingBefore, time.Duration(float64(now.Sub(g.ChosenAt))/pace))
	if ep := t.byID[g.ID]; ep != nil {
		ep.updateSmoothed(now, t.heartbeatInterval)
		ep.freeReading(g)
	}
	g.Reading, g.ReadingBefore = 0, 0
}

// freeReading ends the count of a grant's tokens. updateSmoothed must be called before.
func (e *endpoint) freeReading(g *balance.Grant) {
	e.reading = max(0, e.reading-g.Reading)
	g.Reading = 0
}

// smoothReading brings the smoothed tokens up to now by the weight of the newest count.
func (e *endpoint) smoothReading(weight float64) {
	e.smoothedReading += (float64(e.reading) - e.smoothedReading) * weight
}

// Reading returns the prompt tokens of this router's requests that wait at each endpoint, in readingUnit and
// smoothed over a heartbeat interval like Running.
func (t *Table) Reading(now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list map[string]int64
	for id, ep := range t.byID {
		if ep.reading == 0 && ep.smoothedReading < readingUnit/2 {
			continue
		}
		ep.updateSmoothed(now, t.heartbeatInterval)
		if n := int64(math.Round(ep.smoothedReading / readingUnit)); n > 0 {
			if list == nil {
				list = make(map[string]int64)
			}
			list[id] = n
		}
	}
	return most(list, maxReadingTold)
}

// most returns the n largest entries of a list.
func most(list map[string]int64, n int) map[string]int64 {
	if len(list) <= n {
		return list
	}
	ids := slices.SortedFunc(maps.Keys(list), func(a, b string) int { return cmp.Or(cmp.Compare(list[b], list[a]), strings.Compare(a, b)) })
	for _, id := range ids[n:] {
		delete(list, id)
	}
	return list
}

// SetPeerReading sets the prompt tokens of the other routers' requests that wait at each endpoint, in readingUnit.
func (t *Table) SetPeerReading(reading map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, ep := range t.byID {
		ep.peerReading = float64(reading[id]) * readingUnit
	}
}

const (
	// initialReadRate is assumed until prompts have been read, in tokens a millisecond.
	initialReadRate          = 100
	minReadRate, maxReadRate = 20, 400
	// longPromptTokens is the number of tokens from which a prompt shows how fast an engine reads, and
	// shortPromptTokens that up to which it shows the time of a first event without a prompt.
	longPromptTokens  = 2000
	shortPromptTokens = 500
	// Waits that are not known make a rate seem too low, so that higher ones weigh more.
	higherRateWeight, lowerRateWeight = 0.2, 0.05
	// firstEventWeight is the weight with which the shortest time to a first event follows longer ones.
	firstEventWeight = 0.02
)

// readRate is how fast the engines of a service read prompts, by this router's requests.
type readRate struct {
	rate  float64       // tokens a millisecond; 0 is unknown
	first time.Duration // shortest time to the first event of a request without prompts to read
}

func (r *readRate) tokensPerMS() float64 {
	if r.rate == 0 {
		return initialReadRate
	}
	return r.rate
}

// add records the time to the first event at pace 1 of a request with own tokens to read, behind others.
func (r *readRate) add(own, before float64, took time.Duration) {
	if own+before <= shortPromptTokens {
		if r.first == 0 || took < r.first {
			r.first = took
		}
		r.first += time.Duration(firstEventWeight * float64(took-r.first))
		return
	}
	reading := took - r.first
	if own < longPromptTokens || reading <= 0 {
		return
	}
	rate := min(max((own+before)/(float64(reading)/float64(time.Millisecond)), minReadRate), maxReadRate)
	weight := higherRateWeight
	if r.rate == 0 {
		r.rate = initialReadRate
	}
	if rate < r.rate {
		weight = lowerRateWeight
	}
	r.rate += weight * (rate - r.rate)
}
