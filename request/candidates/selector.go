package candidates

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// Selector makes the Plans of requests under one configuration version. It is safe
// for concurrent use.
type Selector struct {
	snapshot *config.Snapshot
	hints    []*hint // by index in Config.Endpoints
	byName   map[string]int
	groups   map[string]*group
}

// group lists the endpoints of a model or service.
type group struct {
	inService endpointList // without those out of service
	all       endpointList
}

// endpointList holds endpoints in parallel slices.
type endpointList struct {
	index []int    // in Config.Endpoints
	hash  []uint64 // of the endpoints' names
}

func (l *endpointList) add(index int, hash uint64) {
	l.index = append(l.index, index)
	l.hash = append(l.hash, hash)
}

// New returns the Selector of snapshot.
func New(snapshot *config.Snapshot, hints *Hints) *Selector {
	endpoints := snapshot.Config.Endpoints
	sel := &Selector{
		snapshot: snapshot,
		hints:    make([]*hint, len(endpoints)),
		byName:   make(map[string]int, len(endpoints)),
		groups:   make(map[string]*group),
	}
	for i := range endpoints {
		sel.hints[i] = hints.hintOf(endpoints[i].Name)
		sel.byName[endpoints[i].Name] = i
		sel.addToGroup(&endpoints[i], i)
	}
	return sel
}

func (sel *Selector) addToGroup(e *config.Endpoint, index int) {
	g, ok := sel.groups[e.Group()]
	if !ok {
		g = &group{}
		sel.groups[e.Group()] = g
	}
	hash := xxhash.Sum64String(e.Name)
	g.all.add(index, hash)
	if !sel.snapshot.IndexOutOfService(index) {
		g.inService.add(index, hash)
	}
}

// rendezvousChoices is the number of endpoints with the highest rendezvous weight
// that are scored. Overflow goes to the same few endpoints each time, so that it
// finds their caches.
const rendezvousChoices = 4

// defaultEndpointConfidence is the probability that a chat without a known
// placement is cached at its default endpoint.
const defaultEndpointConfidence = 0.8

// outdatedConfidence is the probability that a prefix is still cached at a known
// location although a newer location at another endpoint is known.
const outdatedConfidence = 0.9

// noEndpointRetry is the retry time of a request without a usable endpoint.
const noEndpointRetry = time.Second

// ranked holds the endpoints of a group with the highest rendezvous weights.
type ranked struct {
	index  [rendezvousChoices]int
	weight [rendezvousChoices]uint64
	n      int
}

func (r *ranked) full() bool {
	return r.n == rendezvousChoices
}

// insert adds an endpoint whose weight is above the lowest, or any endpoint while
// there is room.
func (r *ranked) insert(index int, weight uint64) {
	if !r.full() {
		r.n++
	}
	k := r.n - 1
	for ; k > 0 && weight > r.weight[k-1]; k-- {
		r.index[k], r.weight[k] = r.index[k-1], r.weight[k-1]
	}
	r.index[k], r.weight[k] = index, weight
}

// splitMix64 is the finalizer of SplitMix64, which spreads the bits of x.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// mixHashes spreads the bits of x, the combination of two hashes, with one
// multiplication by 2^64 divided by the golden ratio.
func mixHashes(x uint64) uint64 {
	high, low := bits.Mul64(x, 0x9e3779b97f4a7c15)
	return high ^ low
}

// rank returns the usable endpoints of the named group with the highest rendezvous
// weights for key. Usability is checked only for endpoints that would be among them.
func (sel *Selector) rank(now time.Time, groupName string, key uint64, tried []string) ranked {
	var best ranked
	g := sel.groups[groupName]
	if g == nil {
		return best
	}
	key = splitMix64(key)
	nowNanos := now.UnixNano()
	for k, hash := range g.inService.hash {
		weight := mixHashes(key ^ hash)
		if best.full() && weight <= best.weight[rendezvousChoices-1] {
			continue
		}
		if i := g.inService.index[k]; sel.usable(nowNanos, i, tried) {
			best.insert(i, weight)
		}
	}
	return best
}

// usable reports whether endpoint i may get new work and has not been tried yet.
func (sel *Selector) usable(nowNanos int64, i int, tried []string) bool {
	if !sel.hints[i].usable(nowNanos) {
		return false
	}
	return len(tried) == 0 || !slices.Contains(tried, sel.snapshot.Config.Endpoints[i].Name)
}

// DefaultEndpoint returns the endpoint of the named group with the highest
// rendezvous weight for chat, including endpoints out of service. Chats cached
// there need not be reported to the directory.
func (sel *Selector) DefaultEndpoint(groupName string, chat placetoken.Chat) string {
	g := sel.groups[groupName]
	if g == nil {
		return ""
	}
	key := splitMix64(uint64(chat))
	best, bestWeight := 0, uint64(0)
	for k, hash := range g.all.hash {
		if weight := mixHashes(key ^ hash); k == 0 || weight > bestWeight {
			best, bestWeight = g.all.index[k], weight
		}
	}
	return sel.snapshot.Config.Endpoints[best].Name
}

// Select returns the endpoints that the request should try.
func (sel *Selector) Select(now time.Time, in *Input) Plan {
	var plan Plan
	key := uint64(in.Chat)
	if key == 0 {
		key = in.HashKey
	}
	group := in.Kind.Group()
	best := sel.rank(now, group, key, in.Tried)
	if best.n == 0 {
		sel.refuse(now, &plan, group)
		return plan
	}
	w := sel.newScorer(in)
	for i := range in.CacheLocations {
		sel.addCacheLocation(now, &plan, &w, in, &in.CacheLocations[i])
	}
	if w.holder < 0 && in.Returning {
		sel.addPresumedLocation(now, &plan, &w, in)
	}
	for k := range best.n {
		sel.addRanked(now, &plan, &w, in, best.index[k], k)
	}
	sel.addLeastLoad(now, &plan, &w, in, group, key)
	plan.sort()
	plan.dropCandidatesPastDeadline(in)
	plan.setWaits(&w)
	return plan
}

// Trusted reports whether location can be used without asking the directory: its
// endpoint is usable and known to be still the process that cached the prefix.
func (sel *Selector) Trusted(now time.Time, location *CacheLocation) bool {
	i, ok := sel.byName[location.Endpoint]
	if !ok || sel.snapshot.IndexOutOfService(i) || !sel.hints[i].usable(now.UnixNano()) {
		return false
	}
	s := sel.hints[i].read(now)
	return location.Incarnation != 0 && location.Incarnation == s.load.Incarnation
}

// addPresumedLocation adds the default endpoint of a chat without a usable known
// placement: only chats cached elsewhere have to be in the directory. It adds
// nothing if the default endpoint is a known location, which was found unusable.
func (sel *Selector) addPresumedLocation(now time.Time, plan *Plan, w *scorer, in *Input) {
	name := sel.DefaultEndpoint(in.Kind.Group(), in.Chat)
	for i := range in.CacheLocations {
		if in.CacheLocations[i].Endpoint == name {
			return
		}
	}
	presumed := CacheLocation{Endpoint: name, Tokens: in.Prompt, Confidence: defaultEndpointConfidence, Reason: ReasonRendezvous}
	sel.addCacheLocation(now, plan, w, in, &presumed)
}

// refuse sets plan.Code and plan.RetryAfter: BreakerOpen if an endpoint of the group
// is blocked, otherwise NoEndpoint: all are out of service, draining or tried.
func (sel *Selector) refuse(now time.Time, plan *Plan, groupName string) {
	plan.Code = outcome.NoEndpoint
	plan.RetryAfter = noEndpointRetry
	g := sel.groups[groupName]
	if g == nil {
		return
	}
	for _, i := range g.inService.index {
		if sel.hints[i].blocked(now.UnixNano()) {
			plan.Code = outcome.BreakerOpen
		}
	}
}

// dropCandidatesPastDeadline removes candidates whose response would arrive after
// the deadline. If none is left, the request can no longer be served in time.
func (p *Plan) dropCandidatesPastDeadline(in *Input) {
	kept := 0
	for i := range p.n {
		if in.Age+p.list[i].Expected < in.Deadline {
			p.list[kept] = p.list[i]
			kept++
		}
	}
	if kept == 0 && p.n > 0 {
		p.Code = outcome.DeadlineTooShort
		p.RetryAfter = p.list[0].Expected
	}
	p.n = kept
}

// addCacheLocation adds the endpoint of location, if it is usable.
func (sel *Selector) addCacheLocation(now time.Time, plan *Plan, w *scorer, in *Input, location *CacheLocation) {
	i, ok := sel.byName[location.Endpoint]
	if !ok || sel.snapshot.IndexOutOfService(i) || !sel.usable(now.UnixNano(), i, in.Tried) {
		return
	}
	e := &sel.snapshot.Config.Endpoints[i]
	if e.Group() != in.Kind.Group() || plan.contains(e) {
		return
	}
	s := sel.hints[i].read(now)
	if location.Incarnation != 0 && s.load.Incarnation != 0 && location.Incarnation != s.load.Incarnation {
		return // it has restarted since, so its cache is empty
	}
	cached := min(location.Tokens, in.Prompt)
	confidence := location.Confidence
	if confidence == 0 {
		confidence = 1
	}
	if in.newerElsewhere(location) {
		confidence *= outdatedConfidence
	}
	w.noteHolder(i, cached, confidence)
	plan.add(w.newCandidate(e, &s, location.Reason, int(float64(cached)*confidence)))
}

func (sel *Selector) addRanked(now time.Time, plan *Plan, w *scorer, in *Input, index, rank int) {
	e := &sel.snapshot.Config.Endpoints[index]
	if plan.contains(e) {
		return
	}
	reason := ReasonOverflow
	if rank == 0 {
		reason = ReasonRendezvous
	}
	s := sel.hints[index].read(now)
	candidate := w.newCandidate(e, &s, reason, 0)
	candidate.score -= float64(rank) * w.rankPenalty
	w.considerMove(sel, &candidate, &s)
	plan.add(candidate)
}
