package measure

import (
	"time"

	"github.com/stoatmount/stoatmount/process/directory"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// chatsPerRouter bounds a router's directory.
	chatsPerRouter = 20_000
	// tokenLifetime is how long place tokens are valid.
	tokenLifetime = 24 * time.Hour
	// maxRounds is how often a request tries all of its candidates.
	maxRounds = 3
)

// router is the state of one router.
type router struct {
	hints      *candidates.Hints
	selector   *candidates.Selector
	homeChats  *directory.Directory // chats whose home this is
	ownedChats *directory.Directory // chats cached at the endpoints that it owns, by their cache events
}

// product is the policy of the product, with its decision code.
type product struct {
	f       *fleet
	routers []*router
	signer  *placetoken.Signer
	oracle  bool // it knows the true state of every cache and the true loads
}

func newProduct(f *fleet) policy {
	return makeProduct(f, false)
}

func newOracle(f *fleet) policy {
	return makeProduct(f, true)
}

func makeProduct(f *fleet, oracle bool) *product {
	p := &product{f: f, oracle: oracle}
	p.signer, _ = placetoken.NewSigner(tokenLifetime, make([]byte, placetoken.MinKeyBytes))
	for range f.workload.Routers {
		r := &router{hints: candidates.NewHints()}
		r.selector = candidates.New(f.snapshot, r.hints)
		r.homeChats, _ = directory.New(chatsPerRouter)
		r.ownedChats, _ = directory.New(chatsPerRouter)
		p.routers = append(p.routers, r)
	}
	f.loop.every(cacheEventsInterval, p.readCacheEvents)
	return p
}

// install puts a new configuration in force.
func (p *product) install(s *config.Snapshot) {
	for _, r := range p.routers {
		r.selector = candidates.New(s, r.hints)
	}
}

// setDraining informs all routers whether e is draining.
func (p *product) setDraining(e *endpoint, draining bool) {
	for _, r := range p.routers {
		r.hints.SetDraining(e.config.Name, draining)
	}
}

func (p *product) homeOf(c placetoken.Chat) *router {
	return p.routers[uint64(c)%uint64(len(p.routers))]
}

func (p *product) ownerOf(e *endpoint) *router {
	return p.routers[e.index%len(p.routers)]
}

// routing is the state of one request that tries its candidates.
type routing struct {
	p     *product
	r     *request
	plan  candidates.Plan
	next  int
	round int
}

func (p *product) arrive(r *request) {
	a := &routing{p: p, r: r}
	a.selectCandidates()
}

func (a *routing) selectCandidates() {
	p, now := a.p, a.p.f.loop.now
	if p.oracle {
		p.setTrueLoads(a.r)
	}
	in := p.input(a.r)
	a.plan = p.routers[a.r.router].selector.Select(now, &in)
	a.next = 0
	a.tryNext()
}

func (p *product) input(r *request) candidates.Input {
	now := p.f.loop.now
	in := candidates.Input{
		Kind: r.kind, Age: now.Sub(r.sent), Deadline: r.deadline.Sub(r.sent),
		Prompt: r.prompt, TimeAfterPrefill: p.f.minServeTime(r), HashKey: r.id,
	}
	if r.chat == nil {
		return in
	}
	in.Chat = r.chat.key
	in.CacheLocations = p.cacheLocations(r)
	in.Returning = r.chat.historyTokens > 0
	return in
}

// cacheLocations returns where the chat's prefix may be cached, the best source first.
func (p *product) cacheLocations(r *request) []candidates.CacheLocation {
	if p.oracle {
		return p.trueCacheLocations(r.chat)
	}
	var locations []candidates.CacheLocation
	if place, ok := p.signer.Verify(p.f.loop.now, r.chat.key, r.chat.token); ok && !p.f.scenario.tokenLost {
		locations = append(locations, candidates.CacheLocation{
			Endpoint: place.Endpoint, Incarnation: place.Incarnation, Tokens: place.Tokens, At: place.Issued, Reason: candidates.ReasonToken,
		})
	}
	if len(locations) > 0 && p.routers[r.router].selector.Trusted(p.f.loop.now, &locations[0]) {
		return locations
	}
	p.f.stats.placeQueries++
	if e, ok := p.homeOf(r.chat.key).homeChats.Get(r.chat.key); ok {
		locations = append(locations, candidates.CacheLocation{
			Endpoint: e.Endpoint, Incarnation: e.Incarnation, Tokens: e.Tokens, Confidence: e.Confidence, At: e.At, Reason: candidates.ReasonDirectory,
		})
	}
	return locations
}

// trueCacheLocations returns all endpoints that have the chat's prefix cached.
func (p *product) trueCacheLocations(c *chat) []candidates.CacheLocation {
	var locations []candidates.CacheLocation
	for _, i := range p.f.snapshot.GroupEndpoints(c.kind.Group()) {
		e := p.f.endpoints[i]
		if tokens := e.cachedTokens(c.key); tokens > 0 && e.up {
			locations = append(locations, candidates.CacheLocation{Endpoint: e.config.Name, Incarnation: e.incarnation, Tokens: tokens, Reason: candidates.ReasonDirectory})
		}
	}
	return locations
}

// setTrueLoads sets the hints of the request's router to the true loads of the
// group, for the oracle.
func (p *product) setTrueLoads(r *request) {
	hints := p.routers[r.router].hints
	for _, i := range p.f.snapshot.GroupEndpoints(r.kind.Group()) {
		hints.SetLoad(p.f.loop.now, p.f.endpoints[i].config.Name, p.f.endpoints[i].admission.load())
	}
}

// tryNext requests a permit from the owner of the next candidate.
func (a *routing) tryNext() {
	list := a.plan.Candidates()
	if a.plan.Code != outcome.OK || a.round >= maxRounds {
		a.p.f.refuse(a.r)
		return
	}
	if a.next >= len(list) {
		a.round++
		a.p.f.loop.after(hopDelay, a.selectCandidates)
		return
	}
	c := list[a.next]
	a.next++
	now := a.p.f.loop.now
	waitUntil := now.Add(c.MaxWait)
	if a.round == maxRounds-1 {
		waitUntil = a.r.deadline
	}
	e := a.p.f.endpoints[a.p.f.indexOf(c.Endpoint.Name)]
	t := &permitRequest{
		r:       a.r,
		granted: func() { a.handleGrant(e, c.MoveFrom) },
		denied:  func(code outcome.Code) { a.handleDenial(e, code) },
	}
	a.p.f.stats.permitRequested(a.r)
	a.p.f.loop.after(hopDelay, func() { e.admission.request(t, waitUntil, a.p.f.minServeTime(a.r)) })
}

func (a *routing) handleDenial(e *endpoint, code outcome.Code) {
	f := a.p.f
	load := e.admission.load()
	f.loop.after(hopDelay, func() {
		a.p.routers[a.r.router].hints.SetLoad(f.loop.now, e.config.Name, load)
		if code == outcome.DeadlineTooShort && !f.loop.now.Add(f.minServeTime(a.r)).Before(a.r.deadline) {
			f.refuse(a.r) // no endpoint can serve it in time
			return
		}
		if code == outcome.Overloaded || code == outcome.WorkspaceOverShare {
			f.refuse(a.r)
			return
		}
		a.tryNext()
	})
}

func (a *routing) handleGrant(e *endpoint, moveFrom string) {
	f := a.p.f
	load := e.admission.load()
	var from *endpoint
	if moveFrom != "" {
		from = f.endpoints[f.indexOf(moveFrom)]
	}
	start := f.loop.now
	f.loop.after(hopDelay, func() {
		hints := a.p.routers[a.r.router].hints
		hints.SetLoad(f.loop.now, e.config.Name, load)
		f.dispatch(a.r, e, from, func(held time.Duration) {
			hints.RecordHold(e.config.Name, held)
			e.admission.release(a.r, f.loop.now.Sub(start))
		})
	})
}

// done gives the caller a place token and updates the chat's home.
func (p *product) done(r *request, e *endpoint) {
	if r.chat == nil {
		return
	}
	now, tokens := p.f.loop.now, r.prompt+r.output
	r.chat.token = p.signer.Sign(r.chat.key, placetoken.Place{Endpoint: e.config.Name, Incarnation: e.incarnation, Tokens: tokens, Issued: now})
	p.updateHome(r.chat.key, r.kind.Group(), e, tokens)
}

func (p *product) updateHome(key placetoken.Chat, group string, e *endpoint, tokens int) {
	home := p.homeOf(key)
	if home.selector.DefaultEndpoint(group, key) == e.config.Name {
		home.homeChats.Forget(key)
		return
	}
	p.f.stats.placeUpdates++
	home.homeChats.Put(p.f.loop.now, key, e.config.Name, e.incarnation, tokens)
}
