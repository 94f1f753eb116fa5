package upstream

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/loadshed"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/quota"
)

// serviceLoad is the load of a service as shown by this router's requests.
type serviceLoad struct {
	serviceTimes loadshed.ServiceTimes
	demand       loadshed.Demand
	workspaces   loadshed.WorkspaceDemand
	retries      loadshed.RetrySchedule
	arrivals     quota.Demand

	readRate readRate
	paced    bool // some endpoint has reported its pace

	median   time.Duration // of the endpoints' latencies
	medianAt time.Time

	reportsLoad bool // some endpoint has reported its load
}

// loadOf returns the load of a service.
func (t *Table) loadOf(service string) *serviceLoad {
	l := t.loads[service]
	if l == nil {
		l = &serviceLoad{}
		t.loads[service] = l
	}
	return l
}

// shed sets the limit of each candidate and reports whether the request is shed
// because all are busy. A retry, or a stream that goes on, was admitted before: it is
// not shed and has no limits. again means that the request was counted as demand before.
func (t *Table) shed(now time.Time, req balance.Request, list []balance.Candidate, again bool) bool {
	if len(req.Exclude) > 0 || req.Version != nil {
		return false
	}
	load := t.loadOf(req.Service)
	mean := load.serviceTimes.Mean()
	work := load.serviceTimes.ClassMean(req.Class)
	if work == 0 {
		work = mean
	}
	wait := loadshed.MaxWait(req.Objective, req.HasKey)
	slots, busy := 0.0, mean > 0
	stale := t.staleness(req.Service)
	draw := t.draw() // one for all endpoints, so that the excess is refused where all are full
	for i := range list {
		c := &list[i]
		relative := t.relativePace(c)
		c.Limit = loadshed.Limit(wait, c.Slots, time.Duration(float64(mean)*relative))
		c.Full = c.Limit > 0 && !balance.Admits(c.Running+1, c.Limit, stale, draw)
		if c.RateLimited {
			continue
		}
		slots += float64(c.Slots) / relative
		busy = busy && c.Slots > 0 && c.Running >= loadshed.BusyFraction*float64(c.Slots)
	}
	own := slots/float64(max(1, t.readyRouters+1)) + t.limitedRate*mean.Seconds() // this router's share
	band := load.recordDemand(now, req, work, own, again)
	return busy && t.draw() >= load.demand.AdmitRatio(now, band, loadshed.TargetSlots(own, mean, req.HasKey))
}

// recordDemand records the demand of a request that causes work, unless it was recorded before, and returns
// its band. own is this router's share of the slots.
func (l *serviceLoad) recordDemand(now time.Time, req balance.Request, work time.Duration, own float64, recorded bool) int {
	if !recorded {
		l.workspaces.Add(now, req.Workspace, work)
	}
	band := loadshed.PriorityBand(work, req.PriorityRank, l.workspaces.Penalty(req.Workspace, own))
	if !recorded {
		l.demand.Add(now, band, work)
	}
	return band
}

// refuseAtCapacity refuses a request for which no endpoint has capacity.
func (t *Table) refuseAtCapacity(now time.Time, req balance.Request, list []balance.Candidate) *balance.Refusal {
	slots, best := 0.0, 0
	over := func(i int) float64 { return (list[i].Running + 1 - list[i].Limit) / float64(max(1, list[i].Slots)) }
	for i := range list {
		slots += float64(list[i].Slots) / t.relativePace(&list[i])
		if over(i) < over(best) {
			best = i
		}
	}
	load := t.loads[req.Service]
	mean := load.serviceTimes.Mean()
	soonest := max(minRetryAfter, time.Duration(over(best)*float64(mean)))
	interval := mean * time.Duration(t.readyRouters+1) / time.Duration(max(1, math.Round(slots)))
	return &balance.Refusal{Code: outcome.EndpointAtCap, RetryAfter: load.retries.Next(now, soonest, interval, t.draw()),
		Running: list[best].Running, Limit: list[best].Limit, PriorityRank: req.PriorityRank}
}
