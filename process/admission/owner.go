package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/queue"
	"github.com/stoatmount/stoatmount/version/config"
)

// Owner is the table of the endpoints that this router owns or has owned. It
// is safe for concurrent use. Its one mutex is taken before that of the
// Membership; no other lock is taken while it is held.
type Owner struct {
	cfg      Config
	members  Membership
	check    *invariant.Checker
	newQueue func(bound int) Queue

	mu         lock.Mutex[lock.AdmissionOwner]
	snap       *config.Snapshot // nil: nothing is granted
	endpoints  map[string]*endpoint
	names      []string // sorted keys of endpoints
	means      map[string]mean
	heard      map[string]time.Time // last message of each entry
	loads      map[string]sentLoad  // by group
	nextPermit uint64
	nextItem   uint64

	owned       []string // cache of ownedNames
	ownedSnap   *config.Snapshot
	ownedShares *member.Bindings
}

// mean is the newest mean of a group.
type mean struct {
	value float64
	at    time.Time
}

// NewOwner returns an empty table. The random source makes permit numbers
// differ from those of an earlier process.
func NewOwner(cfg Config, members Membership, check *invariant.Checker, rng *rand.Rand) *Owner {
	return &Owner{
		cfg:        cfg,
		members:    members,
		check:      check,
		newQueue:   NewQueue,
		endpoints:  make(map[string]*endpoint),
		means:      make(map[string]mean),
		heard:      make(map[string]time.Time),
		loads:      make(map[string]sentLoad),
		nextPermit: rng.Uint64() &^ (1<<32 - 1),
	}
}

// SetSnapshot puts a configuration in force. Waiting requests for endpoints
// that are out are refused by the next Advance.
func (o *Owner) SetSnapshot(snap *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.snap = snap
}

// Request asks for a permit. It returns the decisions that are due now; there
// is none for the request itself while it waits.
func (o *Owner) Request(now time.Time, r Request) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heard[r.From] = now
	if code := o.refusal(&r); code != outcome.OK {
		return []Decision{refuse(&r, code)}
	}
	shares := o.members.Bindings(now)
	e := o.endpoint(r.Endpoint)
	l := o.limit(now, e, shares)
	if l.fraction.counted == 0 {
		return []Decision{o.refused(e, l, &r, outcome.NotOwner, 0)}
	}
	if e.leaving {
		return []Decision{o.refused(e, l, &r, outcome.EndpointOut, 0)}
	}
	out := o.enqueue(now, e, l, r)
	return o.grantWaiting(now, e, l, out)
}

// refusal returns why r can't be considered, or OK.
func (o *Owner) refusal(r *Request) outcome.Code {
	switch {
	case o.snap == nil:
		return outcome.NoConfig
	case o.snap.EndpointOutOfService(r.Endpoint):
		return outcome.EndpointOut
	case o.snap.Kind(r.Kind) == nil:
		return outcome.BadKind
	default:
		return outcome.OK
	}
}

func (o *Owner) endpoint(name string) *endpoint {
	e := o.endpoints[name]
	if e == nil {
		e = &endpoint{
			name:    name,
			permits: make(map[uint64]*permit),
			waiting: make(map[uint64]waiting),
			queue:   o.newQueue(o.cfg.QueueBound),
		}
		o.endpoints[name] = e
		i, _ := slices.BinarySearch(o.names, name)
		o.names = slices.Insert(o.names, i, name)
	}
	return e
}

// enqueue puts r into the queue and appends the refusals that this causes.
func (o *Owner) enqueue(now time.Time, e *endpoint, l limit, r Request) []Decision {
	o.nextItem++
	e.waiting[o.nextItem] = waiting{request: r, since: now}
	item := queue.Item{
		ID: o.nextItem, Workspace: r.Workspace, Kind: o.snap.Kind(r.Kind),
		Sent: r.Sent, Deadline: r.Deadline, WaitUntil: now.Add(r.Wait), ServeTime: r.ServiceTime, Exclusive: r.Alone,
	}
	if w := o.snap.Workspace(r.Workspace); w != nil {
		item.Share = w.Share
	}
	refused, any := e.queue.Push(now, item, l.permits)
	if !any {
		return nil
	}
	return []Decision{o.refuseItem(e, l, &refused)}
}

func (o *Owner) refuseItem(e *endpoint, l limit, refused *queue.Refused) Decision {
	w := e.waiting[refused.Item.ID]
	delete(e.waiting, refused.Item.ID)
	return o.refused(e, l, &w.request, refused.Code, refused.RetryAfter)
}

// grantWaiting appends the grants that the limit allows, and the refusals of
// requests that have waited for too long.
func (o *Owner) grantWaiting(now time.Time, e *endpoint, l limit, out []Decision) []Decision {
	out = o.grantReserved(now, e, l, out)
	for e.mayStart(l) {
		item, ok := e.queue.Pop(now, len(e.permits), l.permits)
		if !ok {
			break
		}
		w := e.waiting[item.ID]
		if item.Exclusive && !e.empty() {
			e.reserved = &reserved{id: item.ID, waiting: w}
			break
		}
		delete(e.waiting, item.ID)
		out = append(out, o.grant(now, e, l, &w))
	}
	return o.expire(now, e, l, out)
}

// grantReserved lets a request that must run alone start once the endpoint is
// empty. Meanwhile nothing else starts there.
func (o *Owner) grantReserved(now time.Time, e *endpoint, l limit, out []Decision) []Decision {
	if e.reserved == nil {
		return out
	}
	id, w := e.reserved.id, e.reserved.waiting
	if e.empty() && l.permits > 0 {
		e.reserved = nil
		delete(e.waiting, id)
		return append(out, o.grant(now, e, l, &w))
	}
	if now.Sub(w.since) >= w.request.Wait || !now.Before(w.request.Deadline) {
		e.drop(id)
		return append(out, o.refused(e, l, &w.request, outcome.EndpointAtCap, 0))
	}
	return out
}

func (o *Owner) expire(now time.Time, e *endpoint, l limit, out []Decision) []Decision {
	if e.queue.Len() == 0 {
		return out
	}
	refused := e.queue.Expire(now, l.permits)
	for i := range refused {
		out = append(out, o.refuseItem(e, l, &refused[i]))
	}
	return out
}

// Cancel takes back a request that still waits, for example because its caller
// is gone. A permit that was granted meanwhile has to be released.
func (o *Owner) Cancel(from string, call uint64, endpointName string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[endpointName]
	if e == nil {
		return
	}
	for id, w := range e.waiting {
		if w.request.From == from && w.request.CallID == call {
			e.drop(id)
			return
		}
	}
}

// Release gives a permit back and returns the grants that this allows.
func (o *Owner) Release(now time.Time, from string, r Release) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[r.Endpoint]
	if e == nil {
		return nil
	}
	p := e.permits[r.Permit]
	if p == nil || p.from != from {
		return nil
	}
	slack := o.cfg.SettleTime - o.cfg.DispatchWindow
	e.remove(now, r.Permit, p)
	e.holdBack(now, p, o.heard[from], slack)
	o.heard[from] = now
	if r.Dispatched {
		e.explain(r.Permit, p, r.DispatchedAfter, slack)
	}
	if r.Completed {
		e.warm.completedOne(now, p.granted, p.boot, r.FirstToken)
	}
	if r.Failed {
		e.lose(now) // it may have restarted
	}
	return o.serve(now, e, nil)
}

// serve grants what e's limit allows to its waiting requests.
func (o *Owner) serve(now time.Time, e *endpoint, out []Decision) []Decision {
	if len(e.waiting) == 0 {
		return out
	}
	l := o.limit(now, e, o.members.Bindings(now))
	return o.grantWaiting(now, e, l, out)
}

// Renew extends the leases of permits held by the entry from. It returns the
// permits that have lapsed.
func (o *Owner) Renew(now time.Time, from, endpointName string, permits []uint64) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heard[from] = now
	e := o.endpoints[endpointName]
	var lapsed []uint64
	for _, id := range permits {
		var p *permit
		if e != nil {
			p = e.permits[id]
		}
		if p == nil || p.from != from {
			lapsed = append(lapsed, id)
			continue
		}
		p.until = now.Add(o.cfg.Lease)
	}
	return lapsed
}

// Adopt takes over permits that another owner granted, from an entry that is now
// bound to this one. ages are the times since the grants. Only permits whose
// requests have been dispatched may be passed.
func (o *Owner) Adopt(now time.Time, from, endpointName string, permits []uint64, ages []time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil || o.snap.Endpoint(endpointName) == nil || len(ages) != len(permits) {
		return
	}
	o.heard[from] = now
	e := o.endpoint(endpointName)
	for i, id := range permits {
		if p := e.permits[id]; p != nil {
			p.until = now.Add(o.cfg.Lease)
			continue
		}
		o.adopt(now, e, from, id, now.Add(-ages[i]))
	}
}

// HandleLoadReport takes in a load report that was asked for at askedAt and returns the
// grants that it allows.
func (o *Owner) HandleLoadReport(now time.Time, endpointName string, r *protocol.LoadReport, askedAt time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil || o.snap.Endpoint(endpointName) == nil {
		return nil
	}
	e := o.endpoint(endpointName)
	o.limit(now, e, o.members.Bindings(now))
	o.report(now, e, r, askedAt.Add(-time.Duration(r.AgeMs)*time.Millisecond))
	return o.serve(now, e, nil)
}

// HandleLoadFailure notes that the endpoint did not answer when it was asked for its load. It
// may be restarting and counts as cold until it answers again.
func (o *Owner) HandleLoadFailure(now time.Time, endpointName string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.endpoints[endpointName]; e != nil {
		e.lose(now)
	}
}

// SetGroupMean takes in the mean of a group.
func (o *Owner) SetGroupMean(now time.Time, group string, value float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.means[group] = mean{value: value, at: now}
}

// Advance lets time pass: it takes back lapsed permits, refuses what waited for
// too long and grants what has become free. It is called every 50 to 100 ms.
func (o *Owner) Advance(now time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	shares := o.members.Bindings(now)
	var out []Decision
	for _, name := range o.names {
		out = o.advance(now, o.endpoints[name], shares, out)
	}
	o.dropIdle()
	maps.DeleteFunc(o.heard, func(_ string, at time.Time) bool { return now.Sub(at) > relyTime })
	return out
}

// dropIdle forgets endpoints that this router has nothing to do with any more.
func (o *Owner) dropIdle() {
	o.names = slices.DeleteFunc(o.names, func(name string) bool {
		idle := o.endpoints[name].idle()
		if idle {
			delete(o.endpoints, name)
		}
		return idle
	})
}

func (o *Owner) advance(now time.Time, e *endpoint, shares *member.Bindings, out []Decision) []Decision {
	e.lapse(now)
	l := o.limit(now, e, shares)
	if code := o.unusable(e, l); code != outcome.OK {
		return o.refuseAll(e, l, code, out)
	}
	if e.warm.known && now.Sub(e.shown) > o.cfg.ReportStale {
		e.lose(now)
	}
	return o.grantWaiting(now, e, l, out)
}

// unusable returns why no waiting request of e can be granted any more, or OK.
func (o *Owner) unusable(e *endpoint, l limit) outcome.Code {
	switch {
	case e.leaving || o.snap.EndpointOutOfService(e.name):
		return outcome.EndpointOut
	case l.fraction.counted == 0:
		return outcome.NotOwner
	default:
		return outcome.OK
	}
}

func (o *Owner) refuseAll(e *endpoint, l limit, code outcome.Code, out []Decision) []Decision {
	ids := make([]uint64, 0, len(e.waiting))
	for id := range e.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := e.waiting[id]
		e.drop(id)
		out = append(out, o.refused(e, l, &w.request, code, 0))
	}
	return out
}
