package measure

import (
	"time"

	"github.com/stoatmount/stoatmount/process/directory"
	choose "github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// chatsPerRouter bounds a router's directory.
	chatsPerRouter = 20_000
	// tokenLifetime is how long place tokens are valid.
	tokenLifetime = 24 * time.Hour
	// maxRounds is how often a request goes through its candidates.
	maxRounds = 3
)

// router is what one router knows.
type router struct {
	hints   *choose.Hints
	chooser *choose.Selector
	home    *directory.Directory // chats whose home this is
	owned   *directory.Directory // by events of endpoints that it owns
}

// product is the policy that uses the decision code of the fleet.
type product struct {
	f       *fleet
	routers []*router
	signer  *placetoken.Signer
	perfect bool // an oracle: it knows every cache and every load
}

func newProduct(f *fleet) policy {
	return makeProduct(f, false)
}

func newOracle(f *fleet) policy {
	return makeProduct(f, true)
}

func makeProduct(f *fleet, perfect bool) *product {
	p := &product{f: f, perfect: perfect}
	p.signer, _ = placetoken.NewSigner(tokenLifetime, make([]byte, placetoken.MinKeyBytes))
	for range f.workload.Routers {
		r := &router{hints: choose.NewHints()}
		r.chooser = choose.New(f.snapshot, r.hints)
		r.home, _ = directory.New(chatsPerRouter)
		r.owned, _ = directory.New(chatsPerRouter)
		p.routers = append(p.routers, r)
	}
	f.loop.every(eventsEvery, p.readEvents)
	return p
}

// install puts a new configuration in force.
func (p *product) install(s *config.Snapshot) {
	for _, r := range p.routers {
		r.chooser = choose.New(s, r.hints)
	}
}

// leaving tells all routers whether e is leaving.
func (p *product) leaving(e *endpoint, leaving bool) {
	for _, r := range p.routers {
		r.hints.SetDraining(e.config.Name, leaving)
	}
}

func (p *product) homeOf(c placetoken.Chat) *router {
	return p.routers[uint64(c)%uint64(len(p.routers))]
}

func (p *product) ownerOf(e *endpoint) *router {
	return p.routers[e.index%len(p.routers)]
}

// attempt is the way of one request through its candidates.
type attempt struct {
	p     *product
	r     *request
	plan  choose.Plan
	next  int
	round int
}

func (p *product) arrive(r *request) {
	a := &attempt{p: p, r: r}
	a.choose()
}

func (a *attempt) choose() {
	p, now := a.p, a.p.f.loop.now
	if p.perfect {
		p.learnAll(a.r)
	}
	in := p.input(a.r)
	a.plan = p.routers[a.r.router].chooser.Select(now, &in)
	a.next = 0
	a.try()
}

func (p *product) input(r *request) choose.Input {
	now := p.f.loop.now
	in := choose.Input{
		Kind: r.kind, Age: now.Sub(r.sent), Deadline: r.deadline.Sub(r.sent),
		Prompt: r.prompt, ServeTime: p.f.serve(r), HashKey: r.id,
	}
	if r.chat == nil {
		return in
	}
	in.Chat = r.chat.key
	in.CacheLocations = p.known(r)
	in.Returning = r.chat.length > 0
	return in
}

// known returns where the chat's prefix may be, by the best sources first.
func (p *product) known(r *request) []choose.CacheLocation {
	if p.perfect {
		return p.holders(r.chat)
	}
	var known []choose.CacheLocation
	if told, ok := p.signer.Verify(p.f.loop.now, r.chat.key, r.chat.token); ok && !p.f.scenario.tokenLost {
		known = append(known, choose.CacheLocation{
			Endpoint: told.Endpoint, Incarnation: told.Incarnation, Tokens: told.Tokens, At: told.Issued, Reason: choose.ReasonToken,
		})
	}
	if len(known) > 0 && p.routers[r.router].chooser.Trusted(p.f.loop.now, &known[0]) {
		return known
	}
	p.f.stats.placeQueries++
	if e, ok := p.homeOf(r.chat.key).home.Get(r.chat.key); ok {
		known = append(known, choose.CacheLocation{
			Endpoint: e.Endpoint, Incarnation: e.Incarnation, Tokens: e.Tokens, Confidence: e.Confidence, At: e.At, Reason: choose.ReasonDirectory,
		})
	}
	return known
}

// holders returns all endpoints that hold the chat's prefix.
func (p *product) holders(c *chat) []choose.CacheLocation {
	var known []choose.CacheLocation
	for _, i := range p.f.snapshot.GroupEndpoints(c.kind.Group()) {
		e := p.f.ends[i]
		if tokens := e.holds(c.key); tokens > 0 && e.up {
			known = append(known, choose.CacheLocation{Endpoint: e.config.Name, Incarnation: e.boot, Tokens: tokens, Reason: choose.ReasonDirectory})
		}
	}
	return known
}

// learnAll gives the oracle's router the true load of all endpoints.
func (p *product) learnAll(r *request) {
	hints := p.routers[r.router].hints
	for _, i := range p.f.snapshot.GroupEndpoints(r.kind.Group()) {
		hints.SetLoad(p.f.loop.now, p.f.ends[i].config.Name, p.f.ends[i].gate.load())
	}
}

// try asks the next candidate's owner for a permit.
func (a *attempt) try() {
	candidates := a.plan.Candidates()
	if a.plan.Code != outcome.OK || a.round >= maxRounds {
		a.p.f.refuse(a.r)
		return
	}
	if a.next >= len(candidates) {
		a.round++
		a.p.f.loop.after(hop, a.choose)
		return
	}
	c := candidates[a.next]
	a.next++
	now := a.p.f.loop.now
	giveUp := now.Add(c.MaxWait)
	if a.round == maxRounds-1 {
		giveUp = a.r.deadline
	}
	e := a.p.f.ends[a.p.f.indexOf(c.Endpoint.Name)]
	t := &ticket{
		r:       a.r,
		granted: func() { a.granted(e, c.MoveFrom) },
		denied:  func(code outcome.Code) { a.denied(e, code) },
	}
	a.p.f.stats.asked(a.r)
	a.p.f.loop.after(hop, func() { e.gate.ask(t, giveUp, a.p.f.serve(a.r)) })
}

func (a *attempt) denied(e *endpoint, code outcome.Code) {
	f := a.p.f
	load := e.gate.load()
	f.loop.after(hop, func() {
		a.p.routers[a.r.router].hints.SetLoad(f.loop.now, e.config.Name, load)
		if code == outcome.DeadlineTooShort && !f.loop.now.Add(f.serve(a.r)).Before(a.r.deadline) {
			f.refuse(a.r)
			return
		}
		if code == outcome.Overloaded || code == outcome.WorkspaceOverShare {
			f.refuse(a.r)
			return
		}
		a.try()
	})
}

func (a *attempt) granted(e *endpoint, moveFrom string) {
	f := a.p.f
	load := e.gate.load()
	var from *endpoint
	if moveFrom != "" {
		from = f.ends[f.indexOf(moveFrom)]
	}
	start := f.loop.now
	f.loop.after(hop, func() {
		hints := a.p.routers[a.r.router].hints
		hints.SetLoad(f.loop.now, e.config.Name, load)
		f.dispatch(a.r, e, from, func(held time.Duration) {
			hints.RecordHold(e.config.Name, held)
			e.gate.release(a.r, f.loop.now.Sub(start))
		})
	})
}

// done hands the caller a token and tells the chat's home if the place is not
// the default.
func (p *product) done(r *request, e *endpoint) {
	if r.chat == nil {
		return
	}
	now, tokens := p.f.loop.now, r.prompt+r.output
	r.chat.token = p.signer.Sign(r.chat.key, placetoken.Place{Endpoint: e.config.Name, Incarnation: e.boot, Tokens: tokens, Issued: now})
	p.tellHome(r.chat.key, r.kind.Group(), e, tokens)
}

func (p *product) tellHome(key placetoken.Chat, group string, e *endpoint, tokens int) {
	home := p.homeOf(key)
	if home.chooser.DefaultEndpoint(group, key) == e.config.Name {
		home.home.Forget(key)
		return
	}
	p.f.stats.placeUpdates++
	home.home.Put(p.f.loop.now, key, e.config.Name, e.boot, tokens)
}
