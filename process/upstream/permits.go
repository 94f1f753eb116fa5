package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/process/permits"
	"github.com/stoatmount/stoatmount/request/balance"
)

// PermitNeed is what decides whether a service uses permits.
type PermitNeed struct {
	Slots       int  // of its endpoints that are in service
	ReportsLoad bool // some endpoint has reported its load
	ReportsPace bool // some endpoint has reported its pace
}

// PermitNeed returns what is known of a service.
func (t *Table) PermitNeed(service string) PermitNeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.loadOf(service)
	n := PermitNeed{}
	for _, ep := range t.endpointsOf(service) {
		load.reportsLoad = load.reportsLoad || !ep.report.at.IsZero()
		if t.inService(ep, balance.Request{}) {
			n.Slots += ep.Slots
		}
	}
	n.ReportsLoad, n.ReportsPace = load.reportsLoad, load.paced
	return n
}

// PermitEndpoints returns the endpoints of a service that may get calls, for its permit owner.
func (t *Table) PermitEndpoints(now time.Time, service string) []permits.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var healthy, ejected []permits.Endpoint
	for _, ep := range t.endpointsOf(service) {
		if !t.inService(ep, balance.Request{}) || t.pausedFor(now, ep) > 0 {
			continue
		}
		e := permits.Endpoint{ID: ep.ID, Started: ep.Started, Zone: ep.Zone, Slots: ep.Slots, Cold: t.inColdStart(now, ep)}
		if r := &ep.report; !r.at.IsZero() {
			running := min(r.requests, ep.Slots)
			e.Load, e.LoadAt = permits.Load{Running: running, Waiting: r.requests - running, Slots: ep.Slots}, r.at
			if !ep.pace.at.Before(r.at) {
				e.Load.Pace = ep.pace.last
			}
		}
		if now.Before(ep.health.ejectedUntil) || t.isSuperseded(now, ep) {
			ejected = append(ejected, e)
		} else {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 {
		return ejected // better than none, as for usable
	}
	return healthy
}

// PermitExclusions returns the endpoints of a request's service that it may not get from this
// router, and the number of slots of those that it may get.
func (t *Table) PermitExclusions(now time.Time, req balance.Request) (excluded []string, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.permitExclusions(now, req)
}

func (t *Table) permitExclusions(now time.Time, req balance.Request) (excluded []string, slots int) {
	var ejected []string
	ejectedSlots := 0
	for _, ep := range t.endpointsOf(req.Service) {
		if !t.inService(ep, balance.Request{}) {
			continue // the owner knows
		}
		ok, _, _ := t.hasQuota(now, ep)
		switch {
		case !ok, t.pausedFor(now, ep) > 0, !t.inService(ep, req):
			excluded = append(excluded, ep.ID)
		case now.Before(ep.health.ejectedUntil), t.isSuperseded(now, ep):
			ejected = append(ejected, ep.ID)
			ejectedSlots += ep.Slots
		default:
			slots += ep.Slots
		}
	}
	if slots == 0 {
		return excluded, ejectedSlots // better than none, as for usable
	}
	return append(excluded, ejected...), slots
}

// RecordUnassigned counts the demand of a request that asked for a permit and gets no endpoint.
// Acquire counts that of all others.
func (t *Table) RecordUnassigned(now time.Time, req balance.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(req.Exclude) > 0 {
		return
	}
	t.loadOf(req.Service).arrivals.Add(now)
	_, slots := t.permitExclusions(now, req)
	t.recordAssigned(now, req, float64(slots), false)
}

// recordAssigned records the demand of a request whose endpoint the permit owner chooses, which is
// not shed. Like shed it records that of the first attempt only. slots are those of the endpoints that it may get.
func (t *Table) recordAssigned(now time.Time, req balance.Request, slots float64, recorded bool) {
	if len(req.Exclude) > 0 || req.Version != nil {
		return
	}
	load := t.loadOf(req.Service)
	mean := load.serviceTimes.Mean()
	work := load.serviceTimes.ClassMean(req.Class)
	if work == 0 {
		work = mean
	}
	load.recordDemand(now, req, work, slots/float64(max(1, t.readyRouters+1)), recorded)
}

// indexOf returns the index of an assigned endpoint, or -1 if it is not in the list or none is
// assigned.
func indexOf(endpoints []*endpoint, a *balance.Assignment) int {
	if a == nil {
		return -1
	}
	for i, ep := range endpoints {
		if ep.ID == a.ID && ep.Started == a.Started {
			return i
		}
	}
	return -1
}

// totalSlots returns the slots of candidates at the mean pace of the service.
func (t *Table) totalSlots(list []balance.Candidate) float64 {
	n := 0.0
	for i := range list {
		if !list[i].RateLimited {
			n += float64(list[i].Slots) / t.relativePace(&list[i])
		}
	}
	return n
}

// ReportsPace reports whether endpoints of some service have reported their pace.
func (t *Table) ReportsPace() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range t.loads {
		if load.paced {
			return true
		}
	}
	return false
}
