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

// Selector chooses endpoints under one configuration version. It is safe for
// concurrent use.
type Selector struct {
	snapshot *config.Snapshot
	hints    []*hint // by index in Config.Endpoints
	byName   map[string]int
	groups   map[string]*group
}

// group lists the endpoints of a model or service.
type group struct {
	live list // not out
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

// New returns the Chooser of snapshot.
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

// rendezvousChoices is how many endpoints by rendezvous hashing are weighed.
// Overflow goes to the same few endpoints each time, so that it finds caches.
const rendezvousChoices = 4

// presumedConfidence is the probability that a chat without known place is
// cached at its default endpoint.
const presumedConfidence = 0.8

// outdatedConfidence is the probability that a place is still right though a
// newer one is known, if this router does not know whether the endpoint has
// restarted since.
const outdatedConfidence = 0.9

// noEndpointRetry is when a request without usable endpoint should come back.
const noEndpointRetry = time.Second

// ranked are the best endpoints of a group by rendezvous hashing.
type ranked struct {
	index [rendezvousChoices]int
	score [rendezvousChoices]uint64
	n     int
}

func (r *ranked) full() bool {
	return r.n == rendezvousChoices
}

// insert adds an endpoint whose score is above the least, or any if there is
// still room.
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

// mix spreads the bits of x; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// fold spreads the bits of x, which is made of two hashes, with one
// multiplication.
func fold(x uint64) uint64 {
	high, low := bits.Mul64(x, 0x9e3779b97f4a7c15)
	return high ^ low
}

// rank hashes key over the usable endpoints of the group called name. Whether
// an endpoint is usable is read only of those that would be among the best.
func (c *Selector) rank(now time.Time, name string, key uint64, tried []string) ranked {
	var best ranked
	g := c.groups[name]
	if g == nil {
		return best
	}
	key = mix(key)
	nowNanos := now.UnixNano()
	for k, hash := range g.live.hash {
		score := fold(key ^ hash)
		if best.full() && score <= best.score[rendezvousChoices-1] {
			continue
		}
		if i := g.live.index[k]; c.open(nowNanos, i, tried) {
			best.insert(i, score)
		}
	}
	return best
}

// open reports whether endpoint i may get new work and was not tried yet.
func (c *Selector) open(nowNanos int64, i int, tried []string) bool {
	if !c.hints[i].usable(nowNanos) {
		return false
	}
	return len(tried) == 0 || !slices.Contains(tried, c.snapshot.Config.Endpoints[i].Name)
}

// DefaultEndpoint returns the endpoint to which chat belongs by rendezvous hashing
// over all endpoints of the group called name, also those that are out. The
// directory need not be told of chats that are there.
func (c *Selector) DefaultEndpoint(name string, chat placetoken.Chat) string {
	g := c.groups[name]
	if g == nil {
		return ""
	}
	key := mix(uint64(chat))
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
	w := c.weigher(in)
	for i := range in.CacheLocations {
		c.addKnown(now, &plan, &w, in, &in.CacheLocations[i])
	}
	if w.holder < 0 && in.Returning {
		c.addPresumed(now, &plan, &w, in)
	}
	for k := range best.n {
		c.addRanked(now, &plan, &w, in, best.index[k], k)
	}
	c.addLeastLoad(now, &plan, &w, in, group, key)
	plan.sort()
	plan.dropLate(in)
	plan.setWaits(&w)
	return plan
}

// Trusted reports whether known can be relied on without asking the directory:
// its endpoint is usable and, as far as this router has learned, has not
// restarted since.
func (c *Selector) Trusted(now time.Time, known *CacheLocation) bool {
	i, ok := c.byName[known.Endpoint]
	if !ok || c.snapshot.IndexOutOfService(i) || !c.hints[i].usable(now.UnixNano()) {
		return false
	}
	s := c.hints[i].read(now)
	return known.Incarnation != 0 && known.Incarnation == s.load.Incarnation
}

// addPresumed adds the default endpoint of a chat of which no usable place is
// known, as the directory is told of all other places. It does not if the
// default is a known place, which then has lost its cache.
func (c *Selector) addPresumed(now time.Time, plan *Plan, w *weigher, in *Input) {
	name := c.DefaultEndpoint(in.Kind.Group(), in.Chat)
	for i := range in.CacheLocations {
		if in.CacheLocations[i].Endpoint == name {
			return
		}
	}
	presumed := CacheLocation{Endpoint: name, Tokens: in.Prompt, Confidence: presumedConfidence, Reason: ReasonRendezvous}
	c.addKnown(now, plan, w, in, &presumed)
}

// refuse says why no endpoint of the group called name can be tried: circuit
// breakers are open, or there is none that is neither out, leaving nor tried.
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

// dropLate removes candidates whose answer would come too late. If none is
// left the request can no longer be served in time.
func (p *Plan) dropLate(in *Input) {
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

// addKnown adds the endpoint that known names, if it is usable.
func (c *Selector) addKnown(now time.Time, plan *Plan, w *weigher, in *Input, known *CacheLocation) {
	i, ok := c.byName[known.Endpoint]
	if !ok || c.snapshot.IndexOutOfService(i) || !c.open(now.UnixNano(), i, in.Tried) {
		return
	}
	e := &c.snapshot.Config.Endpoints[i]
	if e.Group() != in.Kind.Group() || plan.has(e) {
		return
	}
	s := c.hints[i].read(now)
	if known.Incarnation != 0 && s.load.Incarnation != 0 && known.Incarnation != s.load.Incarnation {
		return // it restarted since and its cache is empty
	}
	cached := min(known.Tokens, in.Prompt)
	confidence := known.Confidence
	if confidence == 0 {
		confidence = 1
	}
	if in.newerElsewhere(known) {
		confidence *= outdatedConfidence
	}
	w.hold(i, cached, confidence)
	plan.add(w.weigh(e, &s, known.Reason, int(float64(cached)*confidence)))
}

func (c *Selector) addRanked(now time.Time, plan *Plan, w *weigher, in *Input, index, rank int) {
	e := &c.snapshot.Config.Endpoints[index]
	if plan.has(e) {
		return
	}
	reason := ReasonOverflow
	if rank == 0 {
		reason = ReasonRendezvous
	}
	s := c.hints[index].read(now)
	candidate := w.weigh(e, &s, reason, 0)
	candidate.score -= float64(rank) * w.rankPenalty
	w.tryMove(c, &candidate, &s)
	plan.add(candidate)
}
