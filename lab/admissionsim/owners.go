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

// Intervals of a router's loops, and bounds of a request for a permit.
const (
	advanceInterval = 50 * time.Millisecond
	pollInterval    = 250 * time.Millisecond
	permitWait      = 300 * time.Millisecond // in the queue of the last candidate
	permitTimeout   = 500 * time.Millisecond // for the reply of an owner
	maxCandidates   = 4
)

// node is the admission state of one process.
type node struct {
	router       *sim.Router
	table        *member.Table
	owner        *admission.Owner
	means        *admission.GroupMeans
	holder       *admission.Holder
	lastCall     uint64
	pendingCalls map[uint64]func(admission.Decision)
}

// owners is the policy of the product: one admission owner per endpoint, and
// owners of rival views share the cap by the bindings of the members.
type owners struct {
	simulation *Simulation
	nodes      map[*sim.Router]*node
	byName     map[string]*Endpoint
	live       map[*Endpoint]map[uint64]*livePermit
	// OnGrant is called when an owner has granted a permit. live is the number
	// of permits of the endpoint in use, from any owner.
	OnGrant func(e *Endpoint, d *admission.Decision, live int)
}

// livePermit is a permit whose request may still be dispatched or is in progress.
type livePermit struct {
	granted    time.Time
	dispatched bool
}

// NewOwners returns the policy of the product.
func NewOwners(simulation *Simulation) Policy {
	return newOwners(simulation)
}

func newOwners(simulation *Simulation) *owners {
	o := &owners{simulation: simulation, nodes: make(map[*sim.Router]*node), byName: make(map[string]*Endpoint),
		live: make(map[*Endpoint]map[uint64]*livePermit)}
	for _, e := range simulation.Endpoints {
		o.byName[e.Settings.Name] = e
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
		owner:        admission.NewOwner(cfg, r.Table, o.simulation.Check, rng),
		means:        admission.NewGroupMeans(cfg),
		holder:       admission.NewHolder(),
		pendingCalls: make(map[uint64]func(admission.Decision)),
	}
	n.owner.SetSnapshot(o.simulation.Snapshot)
	n.means.SetSnapshot(o.simulation.Snapshot)
	o.nodes[r] = n
	o.every(n, advanceInterval, o.advance)
	o.every(n, pollInterval, o.poll)
}

// every runs fn periodically in n's process.
func (o *owners) every(n *node, period time.Duration, fn func(*node)) {
	phase := time.Duration(o.simulation.Rng.Int64N(int64(period)))
	var loop func()
	loop = func() {
		fn(n)
		o.simulation.Fleet.Do(n.router, period, loop)
	}
	o.simulation.Fleet.Do(n.router, phase, loop)
}

func (o *owners) advance(n *node) {
	now := o.simulation.Fleet.Now
	o.sendDecisions(n, n.owner.Advance(now))
	for _, load := range n.owner.GroupLoads(now) {
		meanOwner, ok := n.table.OwnerFor(now, member.DutyGroupMean, load.Group)
		if !ok {
			continue
		}
		to := o.nodes[o.simulation.Fleet.Find(meanOwner.Name)]
		o.send(n, to, func() { to.means.SetLoad(o.simulation.Fleet.Now, n.router.Member.Name, load) })
	}
	for _, out := range n.means.Advance(now) {
		for _, name := range out.To {
			to := o.nodes[o.simulation.Fleet.Find(name)]
			o.send(n, to, func() { to.owner.SetGroupMean(o.simulation.Fleet.Now, out.Mean.Group, float64(out.Mean.Mean)) })
		}
	}
	for _, r := range n.holder.Renewals(now, n.ownerOf(now)) {
		to := o.nodes[o.simulation.Fleet.Find(r.Owner)]
		for _, renew := range r.Renewals {
			o.send(n, to, func() {
				to.owner.RenewFrom(o.simulation.Fleet.Now, n.router.Member.Name, renew)
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

// send runs fn in the process of to when a message from n arrives there.
func (o *owners) send(n, to *node, fn func()) {
	o.simulation.Fleet.Send(n.router, to.router, fn)
}

// poll requests load reports of the endpoints that n owns. Reports arrive with a lag.
func (o *owners) poll(n *node) {
	asked := o.simulation.Fleet.Now
	for _, name := range n.owner.EndpointsToPoll(asked) {
		e := o.byName[name]
		o.simulation.Fleet.After(o.simulation.Fleet.Delay, func() {
			if e.Down {
				o.simulation.Fleet.Do(n.router, o.simulation.Fleet.Delay, func() { n.owner.HandleLoadFailure(o.simulation.Fleet.Now, name) })
				return
			}
			report := e.Report()
			o.simulation.Fleet.Do(n.router, o.simulation.Lag, func() { o.handleReport(n, name, report, asked) })
		})
	}
}

func (o *owners) handleReport(n *node, name string, report protocol.LoadReport, asked time.Time) {
	o.sendDecisions(n, n.owner.HandleLoadReport(o.simulation.Fleet.Now, name, &report, asked))
}

// Acquire implements Policy. It tries some random candidates and waits in the
// queue of the last one.
func (o *owners) Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot)) {
	o.tryNext(o.nodes[entry], o.simulation.randomCandidates(group, maxCandidates), done)
}

func (o *owners) tryNext(n *node, candidates []*Endpoint, done func(*Slot)) {
	if len(candidates) == 0 {
		done(nil)
		return
	}
	next := func() { o.tryNext(n, candidates[1:], done) }
	now := o.simulation.Fleet.Now
	e := candidates[0]
	owner, ok := n.table.OwnerFor(now, member.DutyAdmission, e.Settings.Name)
	if !ok {
		next()
		return
	}
	wait := time.Duration(0)
	if len(candidates) == 1 {
		wait = permitWait
	}
	o.requestPermit(n, owner, e, wait, func(d admission.Decision) {
		if !d.Granted {
			next()
			return
		}
		o.handleGrant(n, now, owner, e, d, done)
	})
}

func (o *owners) handleGrant(n *node, sent time.Time, owner member.Member, e *Endpoint, d admission.Decision, done func(*Slot)) {
	held := n.holder.AddGrant(sent, owner.Name, &d)
	permits := o.live[e]
	done(&Slot{
		Entry: n.router, Endpoint: e, Data: held,
		Check: func() bool {
			ok := n.holder.MayDispatch(o.simulation.Fleet.Now, held, o.simulation.Snapshot) == outcome.OK
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

// recordGrant records a permit and returns the number in use. A permit that was
// not used within the dispatch window cannot be used any more.
func (o *owners) recordGrant(e *Endpoint, permit uint64) int {
	now := o.simulation.Fleet.Now
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
	for _, r := range o.simulation.Fleet.Routers {
		if r.Up && !r.Paused && o.nodes[r].owner.Usable(o.simulation.Fleet.Now, e.Settings.Name) {
			return true
		}
	}
	return false
}

// requestPermit sends a permit request to owner and passes its decision to done.
func (o *owners) requestPermit(n *node, owner member.Member, e *Endpoint, wait time.Duration, done func(admission.Decision)) {
	n.lastCall++
	call := n.lastCall
	n.pendingCalls[call] = done
	now := o.simulation.Fleet.Now
	r := admission.Request{
		From: n.router.Member.Name, CallID: call, Endpoint: e.Settings.Name, Workspace: "w", Kind: e.Settings.Model,
		Sent: now, Deadline: now.Add(20 * time.Second), Wait: wait,
	}
	to := o.nodes[o.simulation.Fleet.Find(owner.Name)]
	o.send(n, to, func() { o.sendDecisions(to, to.owner.Request(o.simulation.Fleet.Now, r)) })
	o.simulation.Fleet.Do(n.router, wait+permitTimeout, func() { n.finishCall(call, admission.Decision{Code: outcome.OwnerUnreachable}) })
}

// finishCall ends a pending call; it returns false if it has ended before.
func (n *node) finishCall(call uint64, d admission.Decision) bool {
	done, open := n.pendingCalls[call]
	if open {
		delete(n.pendingCalls, call)
		done(d)
	}
	return open
}

// sendDecisions sends the decisions of owner n to the entries.
func (o *owners) sendDecisions(n *node, decisions []admission.Decision) {
	for _, d := range decisions {
		to := o.nodes[o.simulation.Fleet.Find(d.From)]
		e := o.byName[d.Endpoint]
		if d.Granted {
			live := o.recordGrant(e, d.Permit)
			if o.OnGrant != nil {
				o.OnGrant(e, &d, live)
			}
		}
		incarnation := to.router.Member.Incarnation
		o.send(n, to, func() { o.handleDecision(n, to, incarnation, e, d) })
	}
}

// handleDecision handles a decision at the entry. A grant whose call has ended
// is released.
func (o *owners) handleDecision(owner, n *node, incarnation uint64, e *Endpoint, d admission.Decision) {
	if n.finishCall(d.CallID, d) || !d.Granted || n.router.Member.Incarnation != incarnation {
		return
	}
	delete(o.live[e], d.Permit)
	o.release(n, owner.router.Member.Name, admission.Release{Endpoint: d.Endpoint, Permit: d.Permit})
}

func (o *owners) release(n *node, owner string, r admission.Release) {
	to := o.nodes[o.simulation.Fleet.Find(owner)]
	o.send(n, to, func() { o.sendDecisions(to, to.owner.Release(o.simulation.Fleet.Now, n.router.Member.Name, r)) })
}

// Finished implements Policy.
func (o *owners) Finished(slot *Slot, completed bool) {
	n := o.nodes[slot.Entry]
	held := slot.Data.(admission.PermitRef)
	result := admission.Result{Completed: completed, Failed: !completed, FirstToken: slot.TimeToFirstToken}
	for _, r := range n.holder.Release(held, result) {
		o.release(n, r.Owner, r.Release)
	}
}
