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

// Owner tracks the endpoints that this router owns or has owned. It is safe for
// concurrent use. Its only mutex is taken before those of the Membership and of the
// invariant.Checker; no other lock is taken while it is held.
type Owner struct {
	cfg      Config
	members  Membership
	check    *invariant.Checker
	newQueue func(bound int) Queue

	mu          lock.Mutex[lock.AdmissionOwner]
	snap        *config.Snapshot // if nil, nothing is granted
	endpoints   map[string]*endpoint
	names       []string // sorted keys of endpoints
	means       map[string]receivedMean
	lastMessage map[string]time.Time // time of the last message of each entry host
	loads       map[string]sentLoad  // by group
	nextPermit  uint64
	nextItem    uint64

	owned         []string // cache of ownedNames
	ownedSnap     *config.Snapshot
	ownedBindings *member.Bindings
}

// receivedMean is the latest mean of a group.
type receivedMean struct {
	value float64
	at    time.Time
}

// NewOwner returns an empty Owner. The random source makes permit numbers differ
// from those of an earlier process.
func NewOwner(cfg Config, members Membership, check *invariant.Checker, rng *rand.Rand) *Owner {
	return &Owner{
		cfg:         cfg,
		members:     members,
		check:       check,
		newQueue:    NewQueue,
		endpoints:   make(map[string]*endpoint),
		means:       make(map[string]receivedMean),
		lastMessage: make(map[string]time.Time),
		loads:       make(map[string]sentLoad),
		nextPermit:  rng.Uint64() &^ (1<<32 - 1), // random upper half; the lower half counts up
	}
}

// SetSnapshot applies a configuration. Waiting requests for endpoints that are
// out of service are refused by the next Advance.
func (o *Owner) SetSnapshot(snap *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.snap = snap
}

// Request requests a permit. It returns the decisions that are due now; there is
// none for r itself while it waits.
func (o *Owner) Request(now time.Time, r Request) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastMessage[r.From] = now
	if code := o.refusal(&r); code != outcome.OK {
		return []Decision{refusedEarly(&r, code)}
	}
	bindings := o.members.Bindings(now)
	e := o.endpoint(r.Endpoint)
	l := o.updateLimit(now, e, bindings)
	if l.fraction.counted == 0 {
		return []Decision{o.refusedDecision(e, l, &r, outcome.NotOwner, 0)}
	}
	if e.draining {
		return []Decision{o.refusedDecision(e, l, &r, outcome.EndpointOut, 0)}
	}
	decisions := o.enqueue(now, e, l, r)
	return o.grantWaiting(now, e, l, decisions)
}

// refusal returns why r cannot be considered, or OK.
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
			waiting: make(map[uint64]waitingRequest),
			queue:   o.newQueue(o.cfg.QueueBound),
		}
		o.endpoints[name] = e
		i, _ := slices.BinarySearch(o.names, name)
		o.names = slices.Insert(o.names, i, name)
	}
	return e
}

// enqueue queues r and returns the refusals that this causes.
func (o *Owner) enqueue(now time.Time, e *endpoint, l limit, r Request) []Decision {
	o.nextItem++
	e.waiting[o.nextItem] = waitingRequest{request: r, since: now}
	item := queue.Item{
		ID: o.nextItem, Workspace: r.Workspace, Kind: o.snap.Kind(r.Kind),
		Sent: r.Sent, Deadline: r.Deadline, WaitUntil: now.Add(r.Wait), ServeTime: r.ServeTime, Alone: r.Alone,
	}
	if w := o.snap.Workspace(r.Workspace); w != nil {
		item.Share = w.Share
	}
	refused, overflow := e.queue.Push(now, item, l.permits)
	if !overflow {
		return nil
	}
	return []Decision{o.refuseItem(e, l, &refused)}
}

func (o *Owner) refuseItem(e *endpoint, l limit, refused *queue.Refused) Decision {
	w := e.waiting[refused.Item.ID]
	delete(e.waiting, refused.Item.ID)
	return o.refusedDecision(e, l, &w.request, refused.Code, refused.RetryAfter)
}

// grantWaiting appends the grants that the limit allows and the refusals of
// requests whose wait has ended.
func (o *Owner) grantWaiting(now time.Time, e *endpoint, l limit, decisions []Decision) []Decision {
	decisions = o.grantReserved(now, e, l, decisions)
	for e.canGrant(l) {
		item, ok := e.queue.Pop(now, len(e.permits), l.permits)
		if !ok {
			break
		}
		w := e.waiting[item.ID]
		if item.Alone && !e.empty() {
			e.reserved = &reservation{id: item.ID, waiting: w}
			break
		}
		delete(e.waiting, item.ID)
		decisions = append(decisions, o.grant(now, e, l, &w))
	}
	return o.expire(now, e, l, decisions)
}

// grantReserved grants a request that must run alone once the endpoint is empty.
// Until then no other request is started there.
func (o *Owner) grantReserved(now time.Time, e *endpoint, l limit, decisions []Decision) []Decision {
	if e.reserved == nil {
		return decisions
	}
	id, w := e.reserved.id, e.reserved.waiting
	if e.empty() && l.permits > 0 {
		e.reserved = nil
		delete(e.waiting, id)
		return append(decisions, o.grant(now, e, l, &w))
	}
	if now.Sub(w.since) >= w.request.Wait || !now.Before(w.request.Deadline) {
		e.removeWaiting(id)
		return append(decisions, o.refusedDecision(e, l, &w.request, outcome.EndpointAtCap, 0))
	}
	return decisions
}

func (o *Owner) expire(now time.Time, e *endpoint, l limit, decisions []Decision) []Decision {
	if e.queue.Len() == 0 {
		return decisions
	}
	refused := e.queue.Expire(now, l.permits)
	for i := range refused {
		decisions = append(decisions, o.refuseItem(e, l, &refused[i]))
	}
	return decisions
}

// Cancel removes a waiting request, for example because its caller disconnected.
// If a permit was granted in the meantime, its entry host must release it.
func (o *Owner) Cancel(sender string, call uint64, endpointName string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[endpointName]
	if e == nil {
		return
	}
	for id, w := range e.waiting {
		if w.request.From == sender && w.request.CallID == call {
			e.removeWaiting(id)
			return
		}
	}
}

// Release takes back a permit and returns the grants that this allows.
func (o *Owner) Release(now time.Time, sender string, r Release) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[r.Endpoint]
	if e == nil {
		return nil
	}
	p := e.permits[r.Permit]
	if p == nil || p.from != sender {
		return nil
	}
	networkDelay := o.cfg.SettleTime - o.cfg.DispatchWindow
	e.remove(now, r.Permit, p)
	e.keepAsForeign(now, p, o.lastMessage[sender], networkDelay)
	o.lastMessage[sender] = now
	if r.Dispatched {
		e.resolveAmbiguity(r.Permit, p, r.DispatchedAfter, networkDelay)
	}
	if r.Completed {
		e.coldStart.requestCompleted(now, p.granted, p.incarnation, r.FirstToken)
	}
	if r.Failed {
		e.markCold(now) // the endpoint may have restarted
	}
	return o.serveWaiting(now, e, nil)
}

// serveWaiting grants what the limit of e allows to its waiting requests.
func (o *Owner) serveWaiting(now time.Time, e *endpoint, decisions []Decision) []Decision {
	if len(e.waiting) == 0 {
		return decisions
	}
	l := o.updateLimit(now, e, o.members.Bindings(now))
	return o.grantWaiting(now, e, l, decisions)
}

// Renew extends the leases of permits held by the entry host sender. It returns the
// permits that have expired.
func (o *Owner) Renew(now time.Time, sender, endpointName string, permits []uint64) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastMessage[sender] = now
	e := o.endpoints[endpointName]
	var expired []uint64
	for _, id := range permits {
		var p *permit
		if e != nil {
			p = e.permits[id]
		}
		if p == nil || p.from != sender {
			expired = append(expired, id)
			continue
		}
		p.leaseEnd = now.Add(o.cfg.Lease)
	}
	return expired
}

// Adopt takes over permits that another owner granted, from an entry host that is
// now bound to this owner. ages are the times since the grants. Only permits whose
// requests have been dispatched may be passed.
func (o *Owner) Adopt(now time.Time, sender, endpointName string, permits []uint64, ages []time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil || o.snap.Endpoint(endpointName) == nil || len(ages) != len(permits) {
		return
	}
	o.lastMessage[sender] = now
	e := o.endpoint(endpointName)
	for i, id := range permits {
		if p := e.permits[id]; p != nil {
			p.leaseEnd = now.Add(o.cfg.Lease)
			continue
		}
		o.adopt(now, e, sender, id, now.Add(-ages[i]))
	}
}

// HandleLoadReport applies a load report that was requested at askedAt and
// returns the grants that it allows.
func (o *Owner) HandleLoadReport(now time.Time, endpointName string, r *protocol.LoadReport, askedAt time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil || o.snap.Endpoint(endpointName) == nil {
		return nil
	}
	e := o.endpoint(endpointName)
	o.updateLimit(now, e, o.members.Bindings(now))
	o.report(now, e, r, askedAt.Add(-time.Duration(r.AgeMs)*time.Millisecond))
	return o.serveWaiting(now, e, nil)
}

// HandleLoadFailure records that a load report could not be fetched. The endpoint
// may be restarting and counts as cold until a report shows its state after now.
func (o *Owner) HandleLoadFailure(now time.Time, endpointName string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.endpoints[endpointName]; e != nil {
		e.markCold(now)
	}
}

// SetGroupMean stores the mean of a group.
func (o *Owner) SetGroupMean(now time.Time, group string, value float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.means[group] = receivedMean{value: value, at: now}
}

// Advance expires leases, refuses requests whose wait has ended and grants free
// permits. It must be called every 50 to 100 ms.
func (o *Owner) Advance(now time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	bindings := o.members.Bindings(now)
	var out []Decision
	for _, name := range o.names {
		out = o.advance(now, o.endpoints[name], bindings, out)
	}
	o.dropIdle()
	maps.DeleteFunc(o.lastMessage, func(_ string, at time.Time) bool { return now.Sub(at) > assumptionWindow })
	return out
}

// dropIdle removes the endpoints that are idle.
func (o *Owner) dropIdle() {
	o.names = slices.DeleteFunc(o.names, func(name string) bool {
		idle := o.endpoints[name].idle()
		if idle {
			delete(o.endpoints, name)
		}
		return idle
	})
}

func (o *Owner) advance(now time.Time, e *endpoint, bindings *member.Bindings, decisions []Decision) []Decision {
	e.expireLeases(now)
	l := o.updateLimit(now, e, bindings)
	if code := o.unusable(e, l); code != outcome.OK {
		return o.refuseAll(e, l, code, decisions)
	}
	if e.coldStart.reported && now.Sub(e.reportedAt) > o.cfg.ReportStale {
		e.markCold(now)
	}
	return o.grantWaiting(now, e, l, decisions)
}

// unusable returns why no waiting request of e can be granted, or OK.
func (o *Owner) unusable(e *endpoint, l limit) outcome.Code {
	switch {
	case e.draining || o.snap.EndpointOutOfService(e.name):
		return outcome.EndpointOut
	case l.fraction.counted == 0:
		return outcome.NotOwner
	default:
		return outcome.OK
	}
}

func (o *Owner) refuseAll(e *endpoint, l limit, code outcome.Code, decisions []Decision) []Decision {
	ids := make([]uint64, 0, len(e.waiting))
	for id := range e.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := e.waiting[id]
		e.removeWaiting(id)
		decisions = append(decisions, o.refusedDecision(e, l, &w.request, code, 0))
	}
	return decisions
}
