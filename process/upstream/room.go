package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	// roomFraction is the part of its slots that a brittle endpoint runs; waiting requests count
	// as room that may be gone. The rest covers counts that are one heartbeat old.
	roomFraction = 0.85
	// rejectionFactor reduces the room after a rejection at any router, down to minRoomFactor.
	rejectionFactor = 0.8
	minRoomFactor   = 0.25
	// roomRecovery is the part of the room that returns in a second.
	roomRecovery = 0.15
	// rejectionWindow is the time over which a brittle endpoint counts its rejections.
	rejectionWindow = time.Second
	// slowStartTime is the time in which a brittle endpoint that was down gets its whole room
	// again; it begins with minRoomFactor.
	slowStartTime = 4 * time.Second
	// roomWait is the wait until room is expected.
	roomWait = 200 * time.Millisecond
)

// room is how far a brittle endpoint is filled, as a factor of its usual room.
type room struct {
	factor     float64
	at         time.Time // of the last rejection, at which factor held; zero if there was none
	lastDownAt time.Time // when it last accepted no connection, or began to serve
}

// rejected records a rejection at any router.
func (r *room) rejected(now time.Time) {
	r.factor, r.at = max(minRoomFactor, r.factorAt(now)*rejectionFactor), now
}

// downAt records that the endpoint accepted no connection.
func (r *room) downAt(at time.Time) {
	if at.After(r.lastDownAt) {
		r.lastDownAt = at
	}
}

// factorAt returns the factor, without the slow start.
func (r *room) factorAt(now time.Time) float64 {
	if r.at.IsZero() {
		return 1
	}
	return min(1, r.factor+roomRecovery*now.Sub(r.at).Seconds())
}

// usable returns the part of the usual room that may be used.
func (r *room) usable(now time.Time) float64 {
	factor := r.factorAt(now)
	if r.lastDownAt.IsZero() {
		return factor
	}
	return min(factor, max(minRoomFactor, now.Sub(r.lastDownAt).Seconds()/slowStartTime.Seconds()))
}

// RecordRejection records that an endpoint rejected a request for want of room, and reports
// whether it is brittle.
func (t *Table) RecordRejection(now time.Time, g *balance.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	if ep == nil || ep.Started != g.Started || !t.isBrittle(ep) {
		return false
	}
	r := &ep.restrictions
	r.rejectedWithin(now)
	r.rejections = append(r.rejections, now)
	r.room.rejected(now)
	return true
}

// FellUnderLoad reports whether an endpoint is brittle and rejected requests recently, so
// that its crash says nothing about the requests that it ran.
func (t *Table) FellUnderLoad(now time.Time, g *balance.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ep := t.byID[g.ID]
	return ep != nil && ep.Started == g.Started && t.isBrittle(ep) && now.Sub(ep.restrictions.room.at) < 2*rejectionWindow
}

// rejectedWithin returns how many own requests were rejected in the last second.
func (r *restrictions) rejectedWithin(now time.Time) int {
	first := 0
	for first < len(r.rejections) && now.Sub(r.rejections[first]) >= rejectionWindow {
		first++
	}
	r.rejections = r.rejections[first:]
	return len(r.rejections)
}

// rejectedByAll returns how many requests were rejected in the last second at all routers,
// as far as known.
func (r *restrictions) rejectedByAll(now time.Time) int {
	n := r.rejectedWithin(now)
	for _, told := range r.told {
		if now.Sub(told.at) < rejectionWindow {
			n += told.rejected
		}
	}
	return n
}

// isBrittle reports whether an endpoint is brittle. All of a service are at the same time, so
// one that has not responded yet is if another one is.
func (t *Table) isBrittle(ep *endpoint) bool {
	if !ep.restrictions.at.IsZero() || !t.someBrittle {
		return ep.restrictions.Brittle
	}
	for _, other := range t.endpointsOf(ep.Service) {
		if other.restrictions.Brittle {
			return true
		}
	}
	return false
}

// roomOf returns the requests that a brittle endpoint may run for all routers.
func (t *Table) roomOf(now time.Time, ep *endpoint) float64 {
	return max(1, roomFraction*float64(ep.Slots)*ep.restrictions.room.usable(now))
}

// hasRoom reports whether this router may send another request to a brittle endpoint: the
// requests of all routers, as far as known, leave room, and its own are within its part of the
// slots. Half of the rejections that the endpoint bears covers what is not known.
func (t *Table) hasRoom(now time.Time, ep *endpoint) bool {
	if ep.Slots <= 0 {
		return true
	}
	r := &ep.restrictions
	if most := r.MaxRejections / 2; r.rejectedByAll(now) > most {
		return false
	}
	usable := t.roomOf(now, ep)
	if ep.load(now)+1 > max(1, usable) {
		return false
	}
	divided := int(usable/roomFraction) + r.MaxRejections/2
	return ep.running < t.share(ep, divided, true)
}
