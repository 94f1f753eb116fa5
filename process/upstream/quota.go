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
	// announcementReportTime is how long this router tells the others what an endpoint said last.
	announcementReportTime = 10 * time.Second
	// maxRestrictions bounds the endpoints that are told of in a heartbeat. With more, those of the
	// next heartbeat differ.
	maxRestrictions = 200
	// toldCountsWait is the wait for the counts of the other routers to change.
	toldCountsWait = 250 * time.Millisecond
)

// Peer is another router that may send requests.
type Peer struct {
	Name   string
	Heard  bool           // a heartbeat of it arrived recently
	Demand map[string]int // by service, in tenths of a request a second
}

// Restriction is what a router tells the others about an endpoint that restricts the
// requests that it takes.
type Restriction struct {
	Incarnation
	balance.Announcement
	AgeMS    int64 `json:"age_ms"`             // since the endpoint said so to this router; -1 if it did not
	Sent     int   `json:"sent,omitempty"`     // own requests in the window of the limit
	Rejected int   `json:"rejected,omitempty"` // own requests that a brittle endpoint rejected in the last second
	DownMS   int64 `json:"down_ms,omitempty"`  // since it accepted no connection, in ms; 0 if it did
}

// restrictions is what is known about the requests that an endpoint takes.
type restrictions struct {
	balance.Announcement
	at    time.Time // when the endpoint said so; zero if it never said anything
	ownAt time.Time // when it last said so to this router
	// told is what each other router has told of its requests.
	told map[string]toldRequests

	rejections []time.Time // of own requests, for want of room
	room       room
}

type toldRequests struct {
	sent, rejected int
	at             time.Time
}

// RecordAnnouncement records what an endpoint said in a response and reports whether that
// changes what is known. at is the arrival of the response; of responses that arrive out of
// order the newest counts.
func (t *Table) RecordAnnouncement(at time.Time, g *balance.Grant, a balance.Announcement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil || ep.Started != g.Started {
		return false
	}
	t.someBrittle = t.someBrittle || a.Brittle
	changed := ep.restrictions.set(at, a)
	if ep.restrictions.at.Equal(at) && !at.IsZero() {
		ep.restrictions.ownAt = at
	}
	return changed
}

// set records what the endpoint said at a time, unless it said something later.
func (r *restrictions) set(at time.Time, a balance.Announcement) bool {
	if !at.After(r.at) || a == (balance.Announcement{}) && r.at.IsZero() {
		return false
	}
	changed := a != r.Announcement
	r.Announcement, r.at = a, at
	return changed
}

// MergeRestrictions records what another router tells.
func (t *Table) MergeRestrictions(now time.Time, router string, list []Restriction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := make(map[string]int) // rejections that it had told, by endpoint
	for _, ep := range t.byID {
		if last, ok := ep.restrictions.told[router]; ok {
			before[ep.ID] = last.rejected
			delete(ep.restrictions.told, router)
		}
	}
	for _, told := range list {
		ep := t.byID[told.ID]
		if ep == nil || ep.Started != told.Started {
			continue
		}
		r := &ep.restrictions
		t.someBrittle = t.someBrittle || told.Brittle
		if told.AgeMS >= 0 {
			r.set(now.Add(-time.Duration(told.AgeMS)*time.Millisecond), told.Announcement)
		}
		if told.DownMS > 0 {
			r.room.downAt(now.Add(-time.Duration(told.DownMS) * time.Millisecond))
		}
		if told.Rejected > before[told.ID] {
			r.room.rejected(now)
		}
		if r.told == nil {
			r.told = make(map[string]toldRequests)
		}
		r.told[router] = toldRequests{sent: told.Sent, rejected: told.Rejected, at: now}
	}
}

// Restrictions returns what endpoints said to this router, and its requests to those that
// restrict them, for the other routers.
func (t *Table) Restrictions(now time.Time) []Restriction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Restriction
	for _, ep := range t.byID {
		r := &ep.restrictions
		told := Restriction{Incarnation: Incarnation{ep.ID, ep.Started}, AgeMS: -1}
		if !r.ownAt.IsZero() && now.Sub(r.ownAt) < announcementReportTime && r.ownAt.Equal(r.at) {
			told.Announcement, told.AgeMS = r.Announcement, now.Sub(r.at).Milliseconds()
		}
		if r.Limited {
			told.Sent = ep.sentWithin(now, t.limitQuota(ep).Window)
		}
		if t.isBrittle(ep) {
			told.Rejected = r.rejectedWithin(now)
			if down := now.Sub(ep.health.unreachableAt); down < announcementReportTime {
				told.DownMS = max(1, down.Milliseconds())
			}
		}
		if told.AgeMS >= 0 || told.Sent > 0 || told.Rejected > 0 || told.DownMS > 0 {
			list = append(list, told)
		}
		if len(list) == maxRestrictions {
			break
		}
	}
	return list
}

// Demand returns the rate of the callers' requests for each service with an endpoint that
// restricts requests, in tenths of a request a second, for the other routers. Quotas are divided by
// what was told last, so that all routers divide them alike.
func (t *Table) Demand(now time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.toldDemand = nil
	for _, ep := range t.byID {
		if !ep.restrictions.Limited && !ep.restrictions.Brittle {
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
	return quota.OfRate(ep.restrictions.PerSecond, len(t.others)+1)
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
	if t.isBrittle(ep) && !t.hasRoom(now, ep) {
		return false, outcome.EndpointLimited, roomWait
	}
	if !ep.restrictions.Limited {
		return true, outcome.OK, 0
	}
	q := t.limitQuota(ep)
	own, share := ep.sentWithin(now, q.Window), t.share(ep, t.dividedQuota(q), true)
	switch {
	case share == 0:
		return false, outcome.EndpointLimited, q.Window / 2
	case own >= share:
		return false, outcome.EndpointLimited, q.Window - now.Sub(ep.sent[len(ep.sent)-share])
	case own+ep.restrictions.sentByOthers(now, q.Window) >= q.Total:
		return false, outcome.EndpointLimited, toldCountsWait
	}
	return true, outcome.OK, 0
}

// sentByOthers returns how many requests the other routers have told to have sent in a
// window.
func (r *restrictions) sentByOthers(now time.Time, window time.Duration) int {
	n := 0
	for _, told := range r.told {
		if now.Sub(told.at) < window {
			n += told.sent
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
