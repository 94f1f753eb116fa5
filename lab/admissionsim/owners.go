package admissionsim

import (
	"math/rand/v2"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Periods of a router's loops.
const (
	advanceEvery = 50 * time.Millisecond
	pollEvery    = 250 * time.Millisecond
	askWait      = 300 * time.Millisecond // in the queue of the last endpoint tried
	askTimeout   = 500 * time.Millisecond // for an owner's answer
	tries        = 4
)

// node is the admission state of one process.
type node struct {
	router *sim.Router
	table  *member.Table
	owner  *admission.Owner
	means  *admission.GroupMeans
	holder *admission.Holder
	calls  uint64
	open   map[uint64]func(admission.Decision)
}

// owners is the mechanism of the product: one owner per endpoint, shares of
// the cap by promises.
type owners struct {
	site  *Simulation
	nodes map[*sim.Router]*node
	byKey map[string]*Endpoint
	live  map[*Endpoint]map[uint64]*livePermit
	// OnGrant is called when an owner has granted a permit. live is the number
	// of permits of the endpoint that are in use, whoever granted them.
	OnGrant func(e *Endpoint, d *admission.Decision, live int)
}

// livePermit is a permit that may still lead, or has led, to a request.
type livePermit struct {
	granted    time.Time
	dispatched bool
}

// NewOwners returns the product's mechanism for site.
func NewOwners(site *Simulation) Policy {
	return newOwners(site)
}

func newOwners(site *Simulation) *owners {
	o := &owners{site: site, nodes: make(map[*sim.Router]*node), byKey: make(map[string]*Endpoint),
		live: make(map[*Endpoint]map[uint64]*livePermit)}
	for _, e := range site.Endpoints {
		o.byKey[e.Settings.Name] = e
		o.live[e] = make(map[uint64]*livePermit)
	}
	return o
}

// Start implements Policy.
func (o *owners) Start(r *sim.Router) {
	cfg := admission.DefaultConfig()
	rng := rand.New(rand.NewPCG(r.Member.Incarnation, 3))
	n := &node{
		router: r, table: r.Table,
		owner:  admission.NewOwner(cfg, r.Table, o.site.Check, rng),
		means:  admission.NewGroupMeans(cfg),
		holder: admission.NewHolder(),
		open:   make(map[uint64]func(admission.Decision)),
	}
	n.owner.SetSnapshot(o.site.Snapshot)
	n.means.SetSnapshot(o.site.Snapshot)
	o.nodes[r] = n
	o.every(n, advanceEvery, o.advance)
	o.every(n, pollEvery, o.poll)
}

// every runs fn in n's process again and again.
func (o *owners) every(n *node, period time.Duration, fn func(*node)) {
	phase := time.Duration(o.site.Rng.Int64N(int64(period)))
	var loop func()
	loop = func() {
		fn(n)
		o.site.Fleet.Do(n.router, period, loop)
	}
	o.site.Fleet.Do(n.router, phase, loop)
}

func (o *owners) advance(n *node) {
	now := o.site.Fleet.Now
	o.deliver(n, n.owner.Advance(now))
	for _, load := range n.owner.GroupLoads(now) {
		holder, ok := n.table.OwnerFor(now, member.DutyGroupMean, load.Group)
		if !ok {
			continue
		}
		to := o.nodes[o.site.Fleet.Find(holder.Name)]
		o.send(n, to, func() { to.means.SetLoad(o.site.Fleet.Now, n.router.Member.Name, load) })
	}
	for _, out := range n.means.Advance(now) {
		for _, name := range out.To {
			to := o.nodes[o.site.Fleet.Find(name)]
			o.send(n, to, func() { to.owner.SetGroupMean(o.site.Fleet.Now, out.Mean.Group, float64(out.Mean.Mean)) })
		}
	}
	for _, r := range n.holder.Renewals(now, n.ownerOf(now)) {
		to := o.nodes[o.site.Fleet.Find(r.Owner)]
		for _, renew := range r.Renewals {
			o.send(n, to, func() {
				to.owner.RenewFrom(o.site.Fleet.Now, n.router.Member.Name, renew)
			})
		}
	}
}

func (n *node) ownerOf(now time.Time) func(string) (string, bool) {
	return func(endpoint string) (string, bool) {
		owner, ok := n.table.OwnerFor(now, member.DutyAdmission, endpoint)
		return owner.Name, ok
	}
}

// send runs fn in the process of to, as if a message from n had arrived.
func (o *owners) send(n, to *node, fn func()) {
	o.site.Fleet.Send(n.router, to.router, fn)
}

// poll asks the watched endpoints for their load. A report shows the state of
// a while ago.
func (o *owners) poll(n *node) {
	asked := o.site.Fleet.Now
	for _, name := range n.owner.EndpointsToPoll(asked) {
		e := o.byKey[name]
		o.site.Fleet.After(o.site.Fleet.Delay, func() {
			if e.Down {
				o.site.Fleet.Do(n.router, o.site.Fleet.Delay, func() { n.owner.HandleLoadFailure(o.site.Fleet.Now, name) })
				return
			}
			report := e.Report()
			o.site.Fleet.Do(n.router, o.site.Lag, func() { o.load(n, name, report, asked) })
		})
	}
}

func (o *owners) load(n *node, name string, report protocol.LoadReport, asked time.Time) {
	o.deliver(n, n.owner.HandleLoadReport(o.site.Fleet.Now, name, &report, asked))
}

// Acquire implements Policy. It tries some endpoints and waits at the last.
func (o *owners) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	o.askNext(o.nodes[entry], o.site.try(group, tries), done)
}

func (o *owners) askNext(n *node, candidates []*Endpoint, done func(*Slot)) {
	if len(candidates) == 0 {
		done(nil)
		return
	}
	next := func() { o.askNext(n, candidates[1:], done) }
	now := o.site.Fleet.Now
	e := candidates[0]
	owner, ok := n.table.OwnerFor(now, member.DutyAdmission, e.Settings.Name)
	if !ok {
		next()
		return
	}
	wait := time.Duration(0)
	if len(candidates) == 1 {
		wait = askWait
	}
	o.ask(n, owner, e, wait, func(d admission.Decision) {
		if !d.Granted {
			next()
			return
		}
		o.granted(n, now, owner, e, d, done)
	})
}

func (o *owners) granted(n *node, sent time.Time, owner member.Member, e *Endpoint, d admission.Decision, done func(*Slot)) {
	held := n.holder.AddGrant(sent, owner.Name, &d)
	permits := o.live[e]
	done(&Slot{
		Entry: n.router, Endpoint: e, Data: held,
		Check: func() bool {
			ok := n.holder.MayDispatch(o.site.Fleet.Now, held, o.site.Snapshot) == outcome.OK
			if !ok {
				delete(permits, d.Permit)
			} else if p := permits[d.Permit]; p != nil {
				p.dispatched = true
			}
			return ok
		},
		Ended: func() { delete(permits, d.Permit) },
	})
}

// grantedAt notes a permit and returns the number that are in use. A permit
// that was not used within the dispatch window never will be.
func (o *owners) grantedAt(e *Endpoint, permit uint64) int {
	now := o.site.Fleet.Now
	permits := o.live[e]
	for id, p := range permits {
		if !p.dispatched && now.Sub(p.granted) > admission.DefaultConfig().DispatchWindow {
			delete(permits, id)
		}
	}
	permits[permit] = &livePermit{granted: now}
	return len(permits)
}

// Usable implements Policy.
func (o *owners) Usable(e *Endpoint) bool {
	for _, r := range o.site.Fleet.Routers {
		if r.Up && !r.Paused && o.nodes[r].owner.Usable(o.site.Fleet.Now, e.Settings.Name) {
			return true
		}
	}
	return false
}

// ask sends a request to owner and waits for the decision.
func (o *owners) ask(n *node, owner member.Member, e *Endpoint, wait time.Duration, done func(admission.Decision)) {
	n.calls++
	call := n.calls
	n.open[call] = done
	now := o.site.Fleet.Now
	r := admission.Request{
		From: n.router.Member.Name, CallID: call, Endpoint: e.Settings.Name, Workspace: "w", Kind: e.Settings.Model,
		Sent: now, Deadline: now.Add(20 * time.Second), Wait: wait,
	}
	to := o.nodes[o.site.Fleet.Find(owner.Name)]
	o.send(n, to, func() { o.deliver(to, to.owner.Request(o.site.Fleet.Now, r)) })
	o.site.Fleet.Do(n.router, wait+askTimeout, func() { n.close(call, admission.Decision{Code: outcome.OwnerUnreachable}) })
}

// close ends an open call; it returns false if it was closed before.
func (n *node) close(call uint64, d admission.Decision) bool {
	done, open := n.open[call]
	if open {
		delete(n.open, call)
		done(d)
	}
	return open
}

// deliver sends decisions of n's table to the entries.
func (o *owners) deliver(n *node, decisions []admission.Decision) {
	for _, d := range decisions {
		to := o.nodes[o.site.Fleet.Find(d.From)]
		e := o.byKey[d.Endpoint]
		if d.Granted {
			live := o.grantedAt(e, d.Permit)
			if o.OnGrant != nil {
				o.OnGrant(e, &d, live)
			}
		}
		boot := to.router.Member.Incarnation
		o.send(n, to, func() { o.answer(n, to, boot, e, d) })
	}
}

// answer brings a decision to the entry. A grant that nobody waits for any
// more is given back.
func (o *owners) answer(owner, n *node, boot uint64, e *Endpoint, d admission.Decision) {
	if n.close(d.CallID, d) || !d.Granted || n.router.Member.Incarnation != boot {
		return
	}
	delete(o.live[e], d.Permit)
	o.release(n, owner.router.Member.Name, admission.Release{Endpoint: d.Endpoint, Permit: d.Permit})
}

func (o *owners) release(n *node, owner string, r admission.Release) {
	to := o.nodes[o.site.Fleet.Find(owner)]
	o.send(n, to, func() { o.deliver(to, to.owner.Release(o.site.Fleet.Now, n.router.Member.Name, r)) })
}

// Finished implements Policy.
func (o *owners) Finished(p *Slot, completed bool) {
	n := o.nodes[p.Entry]
	held := p.Data.(admission.PermitRef)
	result := admission.Result{Completed: completed, Failed: !completed, FirstToken: p.FirstToken}
	for _, r := range n.holder.Release(held, result) {
		o.release(n, r.Owner, r.Release)
	}
}
