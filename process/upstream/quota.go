package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/quota"
)

const (
	coldWindow        = time.Second
	coldShareFraction = 0.85 // of the bound that is divided; the rest covers routers not known yet
	// sentTTL is how long own requests to an endpoint with a quota are remembered.
	sentTTL = 10 * time.Second
	// limitReportTime is how long this router tells the others what an endpoint said last.
	limitReportTime = 10 * time.Second
	// toldCountsWait is the wait for the counts of the other routers to change.
	toldCountsWait = 250 * time.Millisecond
)

// Peer is another router that may send requests.
type Peer struct {
	Name   string
	Heard  bool           // a heartbeat of it arrived recently
	Demand map[string]int // by service, in tenths of a request a second
}

// Limit is what an endpoint said last about the requests a second that it takes from all
// routers together.
type Limit struct {
	Incarnation
	Named bool    `json:"named,omitempty"` // false: it no longer names a limit
	Rate  float64 `json:"rate,omitempty"`
	AgeMS int64   `json:"age_ms"`         // since it said so
	Sent  int     `json:"sent,omitempty"` // own requests in the window of the limit
}

// namedLimit is the last known limit of an endpoint.
type namedLimit struct {
	named bool
	rate  float64
	at    time.Time // when the endpoint said so; zero if it never named one
	ownAt time.Time // when it last said so to this router
	// told is the number of requests that each other router has sent in the window.
	told map[string]toldCount
}

type toldCount struct {
	requests int
	at       time.Time
}

// RecordLimit records the limit that an endpoint named in a response, or that the response
// names none, and reports whether that changes what is known. at is the arrival of the
// response; of responses that arrive out of order the newest counts.
func (t *Table) RecordLimit(at time.Time, g *balance.Grant, named bool, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil || ep.Started != g.Started {
		return false
	}
	changed := ep.limit.set(at, named, rate)
	if ep.limit.at.Equal(at) && !at.IsZero() {
		ep.limit.ownAt = at
	}
	return changed
}

// set records what the endpoint said at a time, unless it said something later.
func (l *namedLimit) set(at time.Time, named bool, rate float64) bool {
	if !at.After(l.at) || !named && l.at.IsZero() {
		return false
	}
	changed := named != l.named || named && rate != l.rate
	l.named, l.rate, l.at = named, rate, at
	if !named {
		l.told = nil
	}
	return changed
}

// MergeLimits records the limits that another router tells, and its requests.
func (t *Table) MergeLimits(now time.Time, router string, list []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ep := range t.byID {
		delete(ep.limit.told, router)
	}
	for _, l := range list {
		ep := t.byID[l.ID]
		if ep == nil || ep.Started != l.Started {
			continue
		}
		if l.AgeMS >= 0 {
			ep.limit.set(now.Add(-time.Duration(l.AgeMS)*time.Millisecond), l.Named, l.Rate)
		}
		if ep.limit.named {
			if ep.limit.told == nil {
				ep.limit.told = make(map[string]toldCount)
			}
			ep.limit.told[router] = toldCount{requests: l.Sent, at: now}
		}
	}
}

// Limits returns the limits that endpoints named to this router, and its requests to all
// limited endpoints, for the other routers.
func (t *Table) Limits(now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Limit
	for _, ep := range t.byID {
		l := Limit{Incarnation: Incarnation{ep.ID, ep.Started}, AgeMS: -1}
		if !ep.limit.ownAt.IsZero() && now.Sub(ep.limit.ownAt) < limitReportTime && ep.limit.ownAt.Equal(ep.limit.at) {
			l.Named, l.Rate, l.AgeMS = ep.limit.named, ep.limit.rate, now.Sub(ep.limit.at).Milliseconds()
		}
		if ep.limit.named {
			l.Sent = ep.sentWithin(now, t.limitQuota(ep).Window)
		}
		if l.AgeMS >= 0 || l.Sent > 0 {
			list = append(list, l)
		}
	}
	return list
}

// Demand returns the rate of the callers' requests for each service with a limited
// endpoint, in tenths of a request a second, for the other routers. Quotas are divided by
// what was told last, so that all routers divide them alike.
func (t *Table) Demand(now time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.toldDemand = nil
	for _, ep := range t.byID {
		if !ep.limit.named {
			continue
		}
		if t.toldDemand == nil {
			t.toldDemand = make(map[string]int)
		}
		t.toldDemand[ep.Service] = t.loadOf(ep.Service).arrivals.Tenths(now)
	}
	return t.toldDemand
}

// limitQuota returns the quota of an endpoint that named a limit.
func (t *Table) limitQuota(ep *endpoint) quota.Quota {
	return quota.OfRate(ep.limit.rate, len(t.others)+1)
}

// dividedQuota returns the number of requests that is divided among the routers. What a
// partitioned router has sent is not told.
func (t *Table) dividedQuota(q quota.Quota) int {
	for i := range t.others {
		if !t.others[i].Heard {
			return q.Total
		}
	}
	return q.Divided()
}

// coldQuota returns the quota of an endpoint in a cold start.
func (t *Table) coldQuota(ep *endpoint) quota.Quota {
	return quota.Quota{Total: int((t.coldRate[ep.Service]*t.cfg.ColdOver + t.cfg.ColdSlack) * coldShareFraction), Window: coldWindow}
}

// share returns this router's part of a number of requests, divided by demand or evenly.
func (t *Table) share(ep *endpoint, total int, byDemand bool) int {
	self := quota.Member{Name: t.self}
	if byDemand {
		self.Demand, self.Heard = t.toldDemand[ep.Service], t.toldDemand != nil
	}
	members := t.members[:0]
	for i := range t.others {
		m := quota.Member{Name: t.others[i].Name}
		if byDemand && t.others[i].Heard {
			m.Demand, m.Heard = t.others[i].Demand[ep.Service], t.others[i].Demand != nil
		}
		members = append(members, m)
	}
	t.members = members
	return quota.Share(quota.SeedOf(ep.ID), total, self, members)
}

// hasQuota reports whether this router may send another request to an endpoint, and
// otherwise why not and when it may again.
func (t *Table) hasQuota(now time.Time, ep *endpoint) (ok bool, code outcome.Code, wait time.Duration) {
	if t.inColdStart(now, ep) {
		q := t.coldQuota(ep)
		if ep.sentWithin(now, q.Window) >= t.share(ep, q.Total, false) {
			return false, outcome.EndpointCold, q.Window / 2
		}
	}
	if !ep.limit.named {
		return true, outcome.OK, 0
	}
	q := t.limitQuota(ep)
	own, share := ep.sentWithin(now, q.Window), t.share(ep, t.dividedQuota(q), true)
	switch {
	case share == 0:
		return false, outcome.EndpointLimited, q.Window / 2
	case own >= share:
		return false, outcome.EndpointLimited, q.Window - now.Sub(ep.sent[len(ep.sent)-share])
	case own+ep.limit.sentByOthers(now, q.Window) >= q.Total:
		return false, outcome.EndpointLimited, toldCountsWait
	}
	return true, outcome.OK, 0
}

// sentByOthers returns how many requests the other routers have told to have sent in a
// window.
func (l *namedLimit) sentByOthers(now time.Time, window time.Duration) int {
	n := 0
	for _, told := range l.told {
		if now.Sub(told.at) < window {
			n += told.requests
		}
	}
	return n
}

// recordSent remembers an own request to an endpoint.
func (e *endpoint) recordSent(now time.Time) {
	first := 0
	for first < len(e.sent) && now.Sub(e.sent[first]) >= sentTTL {
		first++
	}
	e.sent = append(e.sent[first:], now)
}

// sentWithin returns how many own requests were sent in the window that ends now.
func (e *endpoint) sentWithin(now time.Time, window time.Duration) int {
	n := 0
	for n < len(e.sent) && now.Sub(e.sent[len(e.sent)-1-n]) < window {
		n++
	}
	return n
}
