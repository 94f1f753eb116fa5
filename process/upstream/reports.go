package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

// overloadFactor is the multiple of the number of requests that an endpoint may run, beyond which the
// other routers are told at once.
const overloadFactor = 1.25

// LoadReport is what an endpoint said of its load to a router.
type LoadReport struct {
	Incarnation
	Requests int   `json:"requests"` // that run or wait there
	AgeMS    int64 `json:"age_ms"`   // since it said so
}

// loadReport is the last load that an endpoint reported, to this router or to another one.
type loadReport struct {
	requests int
	others   int // requests of the other routers among them
	at       time.Time
	ttl      time.Duration // how long it replaces the counts of heartbeats if it is higher
	told     bool          // by another router, or to the others
}

// RecordLoad records the number of running and queued requests that an endpoint
// reported. It returns whether the endpoint is overloaded and the routers did not know.
func (t *Table) RecordLoad(now time.Time, g *balance.Grant, requests int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil || ep.Started != g.Started {
		return false
	}
	ep.respondedAt = now
	_, limit := t.bounds(now, ep.Service)
	known := ep.load(now) > limit
	ep.recordReport(loadReport{requests: requests, at: now, ttl: t.reportTTL(ep.Service)})
	return !known && limit > 0 && float64(requests) > overloadFactor*limit
}

// recordReport records a load that the endpoint reported, unless a later one is known.
func (e *endpoint) recordReport(r loadReport) {
	if r.at.Before(e.report.at) {
		return
	}
	r.others = max(0, r.requests-e.running)
	e.report = r
}

// reportTTL returns how long the load that an endpoint of a service reported is better than counts: until
// these are told again, or the requests that it included have ended.
func (t *Table) reportTTL(service string) time.Duration {
	return min(t.heartbeatInterval/2, t.serviceTime(service))
}

// TakeLoadReports returns the endpoints that reported to this router, since the last call, to
// have more requests than they may run.
func (t *Table) TakeLoadReports(now time.Time) []LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []LoadReport
	limits := make(map[string]float64) // by service
	for _, ep := range t.byID {
		r := &ep.report
		if r.told || now.Sub(r.at) >= r.ttl {
			continue
		}
		limit, known := limits[ep.Service]
		if !known {
			_, limit = t.bounds(now, ep.Service)
			limits[ep.Service] = limit
		}
		if float64(r.requests) > limit {
			r.told = true
			list = append(list, LoadReport{Incarnation{ep.ID, ep.Started}, r.requests, now.Sub(r.at).Milliseconds()})
		}
	}
	return list
}

// MergeLoadReports records what endpoints reported to another router.
func (t *Table) MergeLoadReports(now time.Time, list []LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, told := range list {
		ep := t.byID[told.ID]
		if ep == nil || ep.Started != told.Started {
			continue
		}
		ttl := t.reportTTL(ep.Service)
		if told.AgeMS < 0 || told.AgeMS >= ttl.Milliseconds() {
			continue
		}
		at := now.Add(-time.Duration(told.AgeMS) * time.Millisecond)
		ep.recordReport(loadReport{requests: told.Requests, at: at, ttl: ttl, told: true})
	}
}
