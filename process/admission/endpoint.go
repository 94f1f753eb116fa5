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

// permit is one place at an endpoint that an entry holds.
type permit struct {
	from      string
	workspace string
	boot      uint64 // of the endpoint at the time of the grant
	granted   time.Time
	until     time.Time // end of the lease
	alone     bool
	// relied is the state, shown by a report, in which the request was taken
	// to be at the endpoint when foreign was lowered; zero: in none.
	relied time.Time
}

// waiting is a request in the queue.
type waiting struct {
	request Request
	since   time.Time
}

// reserved is a request that must run alone and is next.
type reserved struct {
	id      uint64
	waiting waiting
}

// endpoint is what the owner keeps per endpoint.
type endpoint struct {
	name     string
	permits  map[uint64]*permit
	waiting  map[uint64]waiting // by item ID
	queue    Queue
	reserved *reserved

	cover cover
	owned []ownedStance // cache of hash decisions

	audited    *member.Bindings // that auditCount is for
	auditCount int
	foreign    int       // work at the endpoint that no permit stands for, at most
	foreignAt  time.Time // foreign covers all work that began before
	// doubtUntil is when unconfirmed permits are no longer held back.
	doubtUntil time.Time
	doubt      doubt     // report that may lower foreign once more is known
	shown      time.Time // state that the last load report shows
	warm       warmth
	lostAt     time.Time // a report must show the state after this to end the doubt
	leaving    bool
}

// ownedStance caches whether this router owns the endpoint for a stance.
type ownedStance struct {
	view, prev *member.View
	owned      bool
}

// maxOwnedStances bounds the cache.
const maxOwnedStances = 8

// limit is what may be granted at one endpoint.
type limit struct {
	fraction fraction // routers that are bound to this owner now
	capacity int      // of the endpoint, over all owners
	coldCap  int      // part of capacity that follows from a cold start
	permits  int      // that this owner may have granted in total
	cold     bool
}

// limit computes what may be granted at e. Foreign work reduces the share and
// not only the whole: it may have been admitted by owners whose part of the
// routers this one has now, and the owners of the other part use theirs. The
// mean needs no share: it is that of the permits which the owners on this side
// of a disagreement granted, so that the sides' caps add up to that of all.
func (o *Owner) limit(now time.Time, e *endpoint, shares *member.Bindings) limit {
	f := fraction{counted: e.counted(shares), known: shares.Known}
	e.cover.see(now, f)
	l := limit{fraction: f}
	settings := o.snap.Endpoint(e.name)
	if settings == nil || e.leaving || o.snap.EndpointOutOfService(e.name) {
		return l
	}
	e.queue.SetCapacity(settings.Capacity)
	l.cold = e.warm.cold(settings)
	l.coldCap = e.warm.cap(settings)
	bears := min(settings.Capacity, l.coldCap)
	byMean := o.capByMean(now, settings, withMargin(o.snap.Config.Limits.MeanMultiple))
	covered := e.cover.covered
	l.capacity = min(bears, byMean)
	l.permits = max(0, min(share(bears, covered.counted, covered.known), byMean)-e.foreign)
	return l
}

// capByMean is the cap that follows from the mean of the endpoint's group. An
// endpoint that is alone in its group is its own mean and has no such cap.
func (o *Owner) capByMean(now time.Time, settings *config.Endpoint, c float64) int {
	inService := 0
	for _, i := range o.snap.GroupEndpoints(settings.Group()) {
		if !o.snap.IndexOutOfService(i) {
			inService++
		}
	}
	if inService == 1 {
		return settings.Capacity
	}
	return meanCap(c, o.mean(now, settings))
}

// counted returns how many routers are bound to this one as e's owner.
func (e *endpoint) counted(shares *member.Bindings) int {
	n := 0
	for i := range shares.Counts {
		if e.ownedIn(shares, i) {
			n += shares.Counts[i].Count
		}
	}
	return n
}

func (e *endpoint) ownedIn(shares *member.Bindings, i int) bool {
	s := &shares.Counts[i]
	for _, cached := range e.owned {
		if cached.view == s.View && cached.prev == s.Prev {
			return cached.owned
		}
	}
	one := member.Bindings{Self: shares.Self, Counts: []member.BindingCount{{View: s.View, Prev: s.Prev, Count: 1}}}
	owned := one.CountFor(member.DutyAdmission, e.name) > 0
	if len(e.owned) == maxOwnedStances {
		e.owned = slices.Delete(e.owned, 0, 1)
	}
	e.owned = append(e.owned, ownedStance{view: s.View, prev: s.Prev, owned: owned})
	return owned
}

// mean returns the mean of the group that settings belongs to. An old mean
// may be too high by now, so that the endpoints owned here bound it.
func (o *Owner) mean(now time.Time, settings *config.Endpoint) float64 {
	m, ok := o.means[settings.Group()]
	if ok && now.Sub(m.at) <= o.cfg.MeanStale {
		return m.value
	}
	local := o.localMean(settings.Group())
	if !ok {
		return local
	}
	return math.Min(local, m.value)
}

// localMean is the mean over the endpoints of group that are in this table.
func (o *Owner) localMean(group string) float64 {
	permits, endpoints := 0, 0
	for _, name := range o.names {
		settings := o.snap.Endpoint(name)
		if settings == nil || settings.Group() != group || o.snap.EndpointOutOfService(name) {
			continue
		}
		permits += len(o.endpoints[name].permits)
		endpoints++
	}
	return float64(permits) / float64(max(endpoints, 1))
}

// mayStart reports whether another permit fits.
func (e *endpoint) mayStart(l limit) bool {
	if len(e.permits) >= l.permits || e.reserved != nil {
		return false
	}
	for _, p := range e.permits {
		return !p.alone
	}
	return true
}

// grant gives w a permit, after checking once more what must never be exceeded.
func (o *Owner) grant(now time.Time, e *endpoint, l limit, w *waiting) Decision {
	if !o.audit(now, e) {
		return o.refused(e, l, &w.request, outcome.InternalInvariant, 0)
	}
	o.nextPermit++
	e.permits[o.nextPermit] = &permit{
		from: w.request.From, workspace: w.request.Workspace, boot: e.warm.boot,
		granted: now, until: now.Add(o.cfg.Lease), alone: w.request.Alone,
	}
	d := o.decision(e, l, &w.request)
	d.Granted = true
	d.Permit = o.nextPermit
	d.Dispatch = o.cfg.DispatchWindow
	d.Lease = o.cfg.Lease
	d.Waited = now.Sub(w.since)
	return d
}

// audit checks that one more permit is within the cap and the cold cap. It
// computes both from the endpoint's settings and state and does not rely on
// the limit that led to the grant.
func (o *Owner) audit(now time.Time, e *endpoint) bool {
	settings := o.snap.Endpoint(e.name)
	after := len(e.permits) + 1
	coldCap := e.warm.cap(settings)
	ok := o.check.Check(after+e.foreign <= coldCap, invariant.ColdWithinCap, func() string {
		return evidence(e, "cold cap", coldCap)
	})
	shares := o.members.Bindings(now)
	allowed := share(settings.Capacity, e.auditedCount(shares), shares.Known)
	allowed = min(allowed, o.capByMean(now, settings, o.snap.Config.Limits.MeanMultiple)) - e.foreign
	return o.check.Check(after <= allowed, invariant.PermitsWithinCap, func() string {
		return evidence(e, "allowed", allowed)
	}) && ok
}

// auditedCount is counted without the cache of stances, once per Shares.
func (e *endpoint) auditedCount(shares *member.Bindings) int {
	if e.audited != shares {
		e.audited = shares
		e.auditCount = shares.CountFor(member.DutyAdmission, e.name)
	}
	return e.auditCount
}

func evidence(e *endpoint, name string, bound int) string {
	return e.name + ": permits " + strconv.Itoa(len(e.permits)+1) + ", foreign " + strconv.Itoa(e.foreign) +
		", " + name + " " + strconv.Itoa(bound)
}

// report takes in a load report that shows the state at shown.
func (o *Owner) report(now time.Time, e *endpoint, r *protocol.LoadReport, shown time.Time) {
	if shown.Before(e.shown) {
		return
	}
	rebooted := e.warm.known && e.warm.boot != r.Incarnation
	if shown.After(e.lostAt) {
		e.warm.report(now, r)
	}
	e.shown = shown
	e.leaving = r.Draining
	others := max(0, r.Running+r.Queued-e.running(shown.Add(-o.cfg.SettleTime)))
	if rebooted {
		e.foreign, e.foreignAt = 0, shown
	}
	before, grown := e.cover.report(shown.Add(-o.cfg.SettleTime))
	switch {
	case grown:
		e.foreign = min(others, e.foreign+o.rivals(e, before))
		e.foreignAt = shown
		e.doubtUntil = now.Add(relyTime)
		e.rely(now, shown, o.cfg.SettleTime)
	case !shown.Before(e.foreignAt) && others < e.foreign:
		e.foreign = others
		e.rely(now, shown, o.cfg.SettleTime)
	}
	e.noteDoubt(now, shown, others, o.cfg.SettleTime)
}

// rivals bounds what other owners can have granted while this one relied on
// the part covered.
func (o *Owner) rivals(e *endpoint, covered fraction) int {
	bears := o.snap.Endpoint(e.name).Capacity
	return bears - share(bears, covered.counted, covered.known)
}

// running counts the permits whose requests surely were at the endpoint, as
// they were granted before the given time and are still held.
func (e *endpoint) running(before time.Time) int {
	n := 0
	for _, p := range e.permits {
		if p.granted.Before(before) && p.boot == e.warm.boot {
			n++
		}
	}
	return n
}

// lapse takes back the permits of silent entries. Their requests may still
// run, until a load report shows otherwise.
func (e *endpoint) lapse(now time.Time) {
	var lapsed []uint64
	for id, p := range e.permits {
		if !now.Before(p.until) {
			lapsed = append(lapsed, id)
		}
	}
	slices.Sort(lapsed)
	for _, id := range lapsed {
		e.remove(now, id, e.permits[id])
		e.foreign++
		e.foreignAt = now
		e.doubtUntil = now.Add(relyTime)
	}
}

// lose treats e as cold until a report shows a later state.
func (e *endpoint) lose(now time.Time) {
	e.warm.lost()
	e.lostAt = now
}

// empty reports whether no work can be at e.
func (e *endpoint) empty() bool {
	return len(e.permits) == 0 && e.foreign == 0
}

// adopt enters a permit that another owner granted before this one owned e.
// Its request is at the endpoint, and if it was there when foreign was last
// reckoned, it is part of that.
func (o *Owner) adopt(now time.Time, e *endpoint, from string, id uint64, granted time.Time) {
	e.permits[id] = &permit{from: from, boot: e.warm.boot, granted: granted, until: now.Add(o.cfg.Lease)}
	if e.foreign > 0 && granted.Before(e.foreignAt.Add(-o.cfg.SettleTime)) {
		e.foreign--
	}
}

func (e *endpoint) remove(now time.Time, id uint64, p *permit) {
	delete(e.permits, id)
	if p.workspace != "" { // an adopted permit never was in the queue
		e.queue.Done(p.workspace, now.Sub(p.granted))
	}
}

// drop takes the waiting item id out.
func (e *endpoint) drop(id uint64) {
	delete(e.waiting, id)
	if e.reserved != nil && e.reserved.id == id {
		e.queue.Done(e.reserved.waiting.request.Workspace, 0)
		e.reserved = nil
		return
	}
	e.queue.Remove(id)
}

// idle reports whether nothing is known of e that is worth keeping.
func (e *endpoint) idle() bool {
	return len(e.permits) == 0 && len(e.waiting) == 0 && e.cover.now.counted == 0
}

func (o *Owner) decision(e *endpoint, l limit, r *Request) Decision {
	return Decision{
		From: r.From, CallID: r.CallID, Endpoint: r.Endpoint,
		Load: len(e.permits), Cap: l.capacity, Queue: e.queue.Urgent(), Cold: l.cold, Incarnation: e.warm.boot,
	}
}

func (o *Owner) refused(e *endpoint, l limit, r *Request, code outcome.Code, after time.Duration) Decision {
	d := o.decision(e, l, r)
	if code == outcome.EndpointAtCap && l.cold {
		code = outcome.EndpointCold
	}
	d.Code = code
	d.RetryAfter = after
	return d
}

// refuse answers a request for an endpoint of which nothing is kept.
func refuse(r *Request, code outcome.Code) Decision {
	return Decision{From: r.From, CallID: r.CallID, Endpoint: r.Endpoint, Code: code}
}
