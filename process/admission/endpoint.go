package admission

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// permit is the right of an entry host to run one request at an endpoint.
type permit struct {
	from        string
	workspace   string
	incarnation uint64 // of the endpoint when the permit was granted
	granted     time.Time
	leaseEnd    time.Time // end of the lease
	alone       bool
	// assumedRunningAt is the time of the load report whose running requests
	// were assumed to include this one when foreign was lowered; zero if none.
	assumedRunningAt time.Time
}

// waitingRequest is a request that waits for a permit.
type waitingRequest struct {
	request Request
	since   time.Time
}

// reservation holds an endpoint for the next request, which must run alone.
type reservation struct {
	id      uint64
	waiting waitingRequest
}

// endpoint is the owner's state for one endpoint.
type endpoint struct {
	name     string
	permits  map[uint64]*permit
	waiting  map[uint64]waitingRequest // by item ID
	queue    Queue
	reserved *reservation

	fractions  fractionTracker
	ownedCache []ownedBinding // whether this router owns the endpoint, by binding

	auditBindings *member.Bindings // bindings that auditCounted was computed from
	auditCounted  int
	foreign       int       // upper bound of requests at the endpoint without a permit of this owner
	foreignAt     time.Time // foreign includes all work that began before this time
	// Until verifyUntil, reports mark permits that keepAsForeign checks on release.
	verifyUntil  time.Time
	ambiguous    ambiguousReport // report that may lower foreign once releases resolve it
	reportedAt   time.Time       // time of the state shown by the last load report
	coldStart    coldStart
	markedColdAt time.Time // the endpoint counts as cold until a report shows its state after this time
	draining     bool
}

// ownedBinding caches whether this router owns the endpoint under a binding.
type ownedBinding struct {
	view, prev *member.View
	owned      bool
}

// maxOwnedBindings bounds ownedCache.
const maxOwnedBindings = 8

// limit is what may be granted at one endpoint.
type limit struct {
	fraction    fraction // routers that are bound to this owner now
	endpointCap int      // cap of the endpoint over all owners
	coldCap     int      // cap that follows from a cold start
	permits     int      // maximum number of permits that this owner may have granted
	cold        bool
}

// updateLimit records the fraction, sets the queue's capacity and returns what may be
// granted at e. Foreign work is subtracted from this owner's share: earlier owners may
// have admitted it for routers now bound here, while other owners use their shares. The
// cap by the mean is not divided into shares: while the network is partitioned, the mean
// of each side covers its own permits only, so the caps of the sides add up to the group's.
func (o *Owner) updateLimit(now time.Time, e *endpoint, bindings *member.Bindings) limit {
	f := fraction{counted: e.counted(bindings), known: bindings.Known}
	e.fractions.observe(now, f)
	l := limit{fraction: f}
	configured := o.snap.Endpoint(e.name)
	if configured == nil || e.draining || o.snap.EndpointOutOfService(e.name) {
		return l
	}
	e.queue.SetCapacity(configured.Capacity)
	l.cold = e.coldStart.active(configured)
	l.coldCap = e.coldStart.capacity(configured)
	capacity := min(configured.Capacity, l.coldCap)
	byMean := o.capByMean(now, configured, withMargin(o.snap.Config.Limits.MeanMultiple))
	confirmed := e.fractions.confirmed
	l.endpointCap = min(capacity, byMean)
	l.permits = max(0, min(share(capacity, confirmed.counted, confirmed.known), byMean)-e.foreign)
	return l
}

// capByMean returns the cap that follows from the mean of the endpoint's group.
// An endpoint that is the only one of its group in service has no such cap.
func (o *Owner) capByMean(now time.Time, configured *config.Endpoint, multiple float64) int {
	inService := 0
	for _, i := range o.snap.GroupEndpoints(configured.Group()) {
		if !o.snap.IndexOutOfService(i) {
			inService++
		}
	}
	if inService == 1 {
		return configured.Capacity
	}
	return meanCap(multiple, o.groupMean(now, configured))
}

// counted returns how many routers are bound to this one as the owner of e.
func (e *endpoint) counted(bindings *member.Bindings) int {
	n := 0
	for i := range bindings.Counts {
		if e.ownedUnder(bindings, i) {
			n += bindings.Counts[i].Count
		}
	}
	return n
}

func (e *endpoint) ownedUnder(bindings *member.Bindings, i int) bool {
	s := &bindings.Counts[i]
	for _, cached := range e.ownedCache {
		if cached.view == s.View && cached.prev == s.Prev {
			return cached.owned
		}
	}
	one := member.Bindings{Self: bindings.Self, Counts: []member.BindingCount{{View: s.View, Prev: s.Prev, Count: 1}}}
	owned := one.CountFor(member.DutyAdmission, e.name) > 0
	if len(e.ownedCache) == maxOwnedBindings {
		e.ownedCache = slices.Delete(e.ownedCache, 0, 1)
	}
	e.ownedCache = append(e.ownedCache, ownedBinding{view: s.View, prev: s.Prev, owned: owned})
	return owned
}

// groupMean returns the mean of the endpoint's group. A stale mean may be too high
// by now, so it is bounded by the mean of the endpoints owned here.
func (o *Owner) groupMean(now time.Time, configured *config.Endpoint) float64 {
	m, ok := o.means[configured.Group()]
	if ok && now.Sub(m.at) <= o.cfg.MeanStale {
		return m.value
	}
	local := o.localMean(configured.Group())
	if !ok {
		return local
	}
	return math.Min(local, m.value)
}

// localMean returns the mean over the endpoints of group that o tracks.
func (o *Owner) localMean(group string) float64 {
	permits, endpoints := 0, 0
	for _, name := range o.names {
		configured := o.snap.Endpoint(name)
		if configured == nil || configured.Group() != group || o.snap.EndpointOutOfService(name) {
			continue
		}
		permits += len(o.endpoints[name].permits)
		endpoints++
	}
	return float64(permits) / float64(max(endpoints, 1))
}

// canGrant reports whether another permit fits.
func (e *endpoint) canGrant(l limit) bool {
	if len(e.permits) >= l.permits || e.reserved != nil {
		return false
	}
	for _, p := range e.permits {
		return !p.alone // a permit to run alone is the only one
	}
	return true
}

// grant grants w a permit after a final check of the caps.
func (o *Owner) grant(now time.Time, e *endpoint, l limit, w *waitingRequest) Decision {
	if !o.audit(now, e) {
		return o.refusedDecision(e, l, &w.request, outcome.InternalInvariant, 0)
	}
	o.nextPermit++
	e.permits[o.nextPermit] = &permit{
		from: w.request.From, workspace: w.request.Workspace, incarnation: e.coldStart.incarnation,
		granted: now, leaseEnd: now.Add(o.cfg.Lease), alone: w.request.Alone,
	}
	d := o.decision(e, l, &w.request)
	d.Granted = true
	d.Permit = o.nextPermit
	d.DispatchWindow = o.cfg.DispatchWindow
	d.Lease = o.cfg.Lease
	d.Waited = now.Sub(w.since)
	return d
}

// audit checks that one more permit is within the cap and the cold cap. It
// computes both from the endpoint's configuration and state, independently of the
// limit that led to the grant.
func (o *Owner) audit(now time.Time, e *endpoint) bool {
	configured := o.snap.Endpoint(e.name)
	after := len(e.permits) + 1
	coldCap := e.coldStart.capacity(configured)
	ok := o.check.Check(after+e.foreign <= coldCap, invariant.PermitsWithinColdCap, func() string {
		return evidence(e, "cold cap", coldCap)
	})
	bindings := o.members.Bindings(now)
	allowed := share(configured.Capacity, e.countForAudit(bindings), bindings.Known)
	allowed = min(allowed, o.capByMean(now, configured, o.snap.Config.Limits.MeanMultiple)) - e.foreign
	return o.check.Check(after <= allowed, invariant.PermitsWithinCap, func() string {
		return evidence(e, "allowed", allowed)
	}) && ok
}

// countForAudit returns counted, computed without ownedCache, once per Bindings.
func (e *endpoint) countForAudit(bindings *member.Bindings) int {
	if e.auditBindings != bindings {
		e.auditBindings = bindings
		e.auditCounted = bindings.CountFor(member.DutyAdmission, e.name)
	}
	return e.auditCounted
}

func evidence(e *endpoint, name string, bound int) string {
	return e.name + ": permits " + strconv.Itoa(len(e.permits)+1) + ", foreign " + strconv.Itoa(e.foreign) +
		", " + name + " " + strconv.Itoa(bound)
}

// report applies a load report that shows the state at reportedAt.
func (o *Owner) report(now time.Time, e *endpoint, r *protocol.LoadReport, reportedAt time.Time) {
	if reportedAt.Before(e.reportedAt) {
		return
	}
	restarted := e.coldStart.reported && e.coldStart.incarnation != r.Incarnation
	if reportedAt.After(e.markedColdAt) {
		e.coldStart.update(now, r)
	}
	e.reportedAt = reportedAt
	e.draining = r.Draining
	unmatched := max(0, r.Running+r.Queued-e.running(reportedAt.Add(-o.cfg.SettleTime)))
	if restarted {
		e.foreign, e.foreignAt = 0, reportedAt // requests at the earlier process are gone
	}
	before, increased := e.fractions.confirm(reportedAt.Add(-o.cfg.SettleTime))
	switch {
	case increased: // unmatched may include requests that competing owners admitted
		e.foreign = min(unmatched, e.foreign+o.competingPermits(e, before))
		e.foreignAt = reportedAt
		e.verifyUntil = now.Add(assumptionWindow)
		e.assumeRunning(now, reportedAt, o.cfg.SettleTime)
	case !reportedAt.Before(e.foreignAt) && unmatched < e.foreign:
		e.foreign = unmatched
		e.assumeRunning(now, reportedAt, o.cfg.SettleTime)
	}
	e.noteAmbiguousReport(now, reportedAt, unmatched, o.cfg.SettleTime)
}

// competingPermits returns the maximum number of permits that other owners can have
// granted while this one used the confirmed fraction.
func (o *Owner) competingPermits(e *endpoint, confirmed fraction) int {
	capacity := o.snap.Endpoint(e.name).Capacity
	return capacity - share(capacity, confirmed.counted, confirmed.known)
}

// running counts the permits whose requests were certainly at the endpoint:
// those granted before the given time and still held.
func (e *endpoint) running(before time.Time) int {
	n := 0
	for _, p := range e.permits {
		if p.granted.Before(before) && p.incarnation == e.coldStart.incarnation {
			n++
		}
	}
	return n
}

// expireLeases removes permits that were not renewed. Their requests may still
// run, so they count as foreign work until a load report shows otherwise.
func (e *endpoint) expireLeases(now time.Time) {
	var expired []uint64
	for id, p := range e.permits {
		if !now.Before(p.leaseEnd) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		e.remove(now, id, e.permits[id])
		e.foreign++
		e.foreignAt = now
		e.verifyUntil = now.Add(assumptionWindow)
	}
}

// markCold treats e as cold until a load report shows its state after now.
func (e *endpoint) markCold(now time.Time) {
	e.coldStart.reportsLost()
	e.markedColdAt = now
}

// empty reports whether no work can be at e.
func (e *endpoint) empty() bool {
	return len(e.permits) == 0 && e.foreign == 0
}

// adopt adds a permit that another owner granted before this one owned e. Its
// request is at the endpoint; if it was there when foreign was last computed,
// foreign includes it and is lowered.
func (o *Owner) adopt(now time.Time, e *endpoint, sender string, id uint64, granted time.Time) {
	e.permits[id] = &permit{from: sender, incarnation: e.coldStart.incarnation, granted: granted, leaseEnd: now.Add(o.cfg.Lease)}
	if e.foreign > 0 && granted.Before(e.foreignAt.Add(-o.cfg.SettleTime)) {
		e.foreign--
	}
}

func (e *endpoint) remove(now time.Time, id uint64, p *permit) {
	delete(e.permits, id)
	if p.workspace != "" { // an adopted permit has none, as it was never in this queue
		e.queue.Done(p.workspace, now.Sub(p.granted))
	}
}

// removeWaiting removes the waiting item with this id.
func (e *endpoint) removeWaiting(id uint64) {
	delete(e.waiting, id)
	if e.reserved != nil && e.reserved.id == id {
		e.queue.Done(e.reserved.waiting.request.Workspace, 0)
		e.reserved = nil
		return
	}
	e.queue.Remove(id)
}

// idle reports whether e has no permits and no waiting requests, and no router is
// bound to this one as the owner of e.
func (e *endpoint) idle() bool {
	return len(e.permits) == 0 && len(e.waiting) == 0 && e.fractions.current.counted == 0
}

func (o *Owner) decision(e *endpoint, l limit, r *Request) Decision {
	return Decision{
		From: r.From, CallID: r.CallID, Endpoint: r.Endpoint,
		Load: len(e.permits), Cap: l.endpointCap, Queue: e.queue.Urgent(), Cold: l.cold, Incarnation: e.coldStart.incarnation,
	}
}

func (o *Owner) refusedDecision(e *endpoint, l limit, r *Request, code outcome.Code, retryAfter time.Duration) Decision {
	d := o.decision(e, l, r)
	if code == outcome.EndpointAtCap && l.cold {
		code = outcome.EndpointCold
	}
	d.Code = code
	d.RetryAfter = retryAfter
	return d
}

// refusedEarly refuses a request before its endpoint is looked up.
func refusedEarly(r *Request, code outcome.Code) Decision {
	return Decision{From: r.From, CallID: r.CallID, Endpoint: r.Endpoint, Code: code}
}
