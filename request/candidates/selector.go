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

// Selector selects endpoints under one configuration version. It is safe for
// concurrent use.
type Selector struct {
	snapshot *config.Snapshot
	hints    []*hint // by index in Config.Endpoints
	byName   map[string]int
	groups   map[string]*group
}

// group lists the endpoints of a model or service.
type group struct {
	live list // not out of service
	all  list
}

// list is a set of endpoints.
type list struct {
	index []int    // in Config.Endpoints
	hash  []uint64 // of the endpoints' names
}

func (l *list) add(index int, hash uint64) {
	l.index = append(l.index, index)
	l.hash = append(l.hash, hash)
}

// New returns the Selector of snapshot.
func New(snapshot *config.Snapshot, hints *Hints) *Selector {
	endpoints := snapshot.Config.Endpoints
	c := &Selector{
		snapshot: snapshot,
		hints:    make([]*hint, len(endpoints)),
		byName:   make(map[string]int, len(endpoints)),
		groups:   make(map[string]*group),
	}
	for i := range endpoints {
		c.hints[i] = hints.of(endpoints[i].Name)
		c.byName[endpoints[i].Name] = i
		c.addToGroup(&endpoints[i], i)
	}
	return c
}

func (c *Selector) addToGroup(e *config.Endpoint, index int) {
	g, ok := c.groups[e.Group()]
	if !ok {
		g = &group{}
		c.groups[e.Group()] = g
	}
	hash := xxhash.Sum64String(e.Name)
	g.all.add(index, hash)
	if !c.snapshot.IndexOutOfService(index) {
		g.live.add(index, hash)
	}
}

// rendezvousChoices is the number of endpoints with the highest rendezvous weight
// that are scored. Overflow goes to the same few endpoints each time, so that it
// finds their caches.
const rendezvousChoices = 4

// defaultEndpointConfidence is the probability that a chat without a known
// placement is cached at its default endpoint.
const defaultEndpointConfidence = 0.8

// outdatedConfidence is the probability that a placement still holds though a
// newer one is known, if this router does not know whether the endpoint has
// restarted since.
const outdatedConfidence = 0.9

// noEndpointRetry is the retry time of a request without a usable endpoint.
const noEndpointRetry = time.Second

// ranked holds the endpoints of a group with the highest rendezvous weights.
type ranked struct {
	index [rendezvousChoices]int
	score [rendezvousChoices]uint64
	n     int
}

func (r *ranked) full() bool {
	return r.n == rendezvousChoices
}

// insert adds an endpoint whose score is above the lowest, or any endpoint while
// there is room.
func (r *ranked) insert(index int, score uint64) {
	if !r.full() {
		r.n++
	}
	k := r.n - 1
	for ; k > 0 && score > r.score[k-1]; k-- {
		r.index[k], r.score[k] = r.index[k-1], r.score[k-1]
	}
	r.index[k], r.score[k] = index, score
}

// splitMix64 is the finalizer of SplitMix64, which spreads the bits of x.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// fold spreads the bits of x, the combination of two hashes, with one
// multiplication.
func fold(x uint64) uint64 {
	high, low := bits.Mul64(x, 0x9e3779b97f4a7c15)
	return high ^ low
}

// rank returns the usable endpoints of the named group with the highest rendezvous
// weights for key. Usability is checked only for endpoints that would be among them.
func (c *Selector) rank(now time.Time, name string, key uint64, tried []string) ranked {
	var best ranked
	g := c.groups[name]
	if g == nil {
		return best
	}
	key = splitMix64(key)
	nowNanos := now.UnixNano()
	for k, hash := range g.live.hash {
		score := fold(key ^ hash)
		if best.full() && score <= best.score[rendezvousChoices-1] {
			continue
		}
		if i := g.live.index[k]; c.usable(nowNanos, i, tried) {
			best.insert(i, score)
		}
	}
	return best
}

// usable reports whether endpoint i may get new work and has not been tried yet.
func (c *Selector) usable(nowNanos int64, i int, tried []string) bool {
	if !c.hints[i].usable(nowNanos) {
		return false
	}
	return len(tried) == 0 || !slices.Contains(tried, c.snapshot.Config.Endpoints[i].Name)
}

// DefaultEndpoint returns the endpoint of the named group with the highest
// rendezvous weight for chat, including endpoints out of service. Chats cached
// there need not be reported to the directory.
func (c *Selector) DefaultEndpoint(name string, chat placetoken.Chat) string {
	g := c.groups[name]
	if g == nil {
		return ""
	}
	key := splitMix64(uint64(chat))
	best, bestScore := 0, uint64(0)
	for k, hash := range g.all.hash {
		if score := fold(key ^ hash); k == 0 || score > bestScore {
			best, bestScore = g.all.index[k], score
		}
	}
	return c.snapshot.Config.Endpoints[best].Name
}

// Select returns the endpoints that the request should try.
func (c *Selector) Select(now time.Time, in *Input) Plan {
	var plan Plan
	key := uint64(in.Chat)
	if key == 0 {
		key = in.HashKey
	}
	group := in.Kind.Group()
	best := c.rank(now, group, key, in.Tried)
	if best.n == 0 {
		c.refuse(now, &plan, group)
		return plan
	}
	w := c.scorer(in)
	for i := range in.CacheLocations {
		c.addCacheLocation(now, &plan, &w, in, &in.CacheLocations[i])
	}
	if w.holder < 0 && in.Returning {
		c.addPresumedLocation(now, &plan, &w, in)
	}
	for k := range best.n {
		c.addRanked(now, &plan, &w, in, best.index[k], k)
	}
	c.addLeastLoad(now, &plan, &w, in, group, key)
	plan.sort()
	plan.dropCandidatesPastDeadline(in)
	plan.setWaits(&w)
	return plan
}

// Trusted reports whether location can be used without asking the directory: its
// endpoint is usable and, as far as this router knows, has not restarted since.
func (c *Selector) Trusted(now time.Time, location *CacheLocation) bool {
	i, ok := c.byName[location.Endpoint]
	if !ok || c.snapshot.IndexOutOfService(i) || !c.hints[i].usable(now.UnixNano()) {
		return false
	}
	s := c.hints[i].read(now)
	return location.Incarnation != 0 && location.Incarnation == s.load.Incarnation
}

// addPresumedLocation adds the default endpoint of a chat without a usable known
// placement, since all other placements are in the directory. It adds nothing if
// the default endpoint is a known location, which then has lost its cache.
func (c *Selector) addPresumedLocation(now time.Time, plan *Plan, w *scorer, in *Input) {
	name := c.DefaultEndpoint(in.Kind.Group(), in.Chat)
	for i := range in.CacheLocations {
		if in.CacheLocations[i].Endpoint == name {
			return
		}
	}
	presumed := CacheLocation{Endpoint: name, Tokens: in.Prompt, Confidence: defaultEndpointConfidence, Reason: ReasonRendezvous}
	c.addCacheLocation(now, plan, w, in, &presumed)
}

// refuse sets the reason why no endpoint of the named group can be tried: circuit
// breakers are open, or every endpoint is out of service, draining or tried.
func (c *Selector) refuse(now time.Time, plan *Plan, name string) {
	plan.Code = outcome.NoEndpoint
	plan.RetryAfter = noEndpointRetry
	g := c.groups[name]
	if g == nil {
		return
	}
	for _, i := range g.live.index {
		if c.hints[i].blocked(now.UnixNano()) {
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
func (c *Selector) addCacheLocation(now time.Time, plan *Plan, w *scorer, in *Input, location *CacheLocation) {
	i, ok := c.byName[location.Endpoint]
	if !ok || c.snapshot.IndexOutOfService(i) || !c.usable(now.UnixNano(), i, in.Tried) {
		return
	}
	e := &c.snapshot.Config.Endpoints[i]
	if e.Group() != in.Kind.Group() || plan.contains(e) {
		return
	}
	s := c.hints[i].read(now)
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

func (c *Selector) addRanked(now time.Time, plan *Plan, w *scorer, in *Input, index, rank int) {
	e := &c.snapshot.Config.Endpoints[index]
	if plan.contains(e) {
		return
	}
	reason := ReasonOverflow
	if rank == 0 {
		reason = ReasonRendezvous
	}
	s := c.hints[index].read(now)
	candidate := w.newCandidate(e, &s, reason, 0)
	candidate.score -= float64(rank) * w.rankPenalty
	w.considerMove(c, &candidate, &s)
	plan.add(candidate)
}
