package router

import (
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/peers"
)

const (
	// immediateUpdateInterval is the heartbeat interval up to which each heartbeat updates the
	// endpoint table at once.
	immediateUpdateInterval = 250 * time.Millisecond
	// updatesPerInterval is how often that is done in a heartbeat interval in larger fleets: an
	// update costs as much as there are routers, and they send as many heartbeats.
	updatesPerInterval = 20
)

// peerUpdates bounds how often heartbeats update the endpoint table.
type peerUpdates struct {
	mu        sync.Mutex // leaf
	last      time.Time
	scheduled bool
}

// peerUpdateInterval returns the least time between two updates among n routers.
func peerUpdateInterval(n int) time.Duration {
	interval := peers.Interval(n)
	if interval <= immediateUpdateInterval {
		return 0
	}
	return interval / updatesPerInterval
}

// begin reports whether to update now. If not, and none is scheduled, it returns the time until the next one.
func (u *peerUpdates) begin(now time.Time, interval time.Duration) (due bool, schedule time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	since := now.Sub(u.last)
	if since >= interval || since < 0 {
		u.last = now
		return true, 0
	}
	if u.scheduled {
		return false, 0
	}
	u.scheduled = true
	return false, interval - since
}

// beginScheduled begins the scheduled update.
func (u *peerUpdates) beginScheduled(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last, u.scheduled = now, false
}

// peersChanged updates the endpoint table after a heartbeat, in large fleets with the next
// ones together.
func (r *Router) peersChanged(now time.Time) {
	due, schedule := r.peerUpdates.begin(now, peerUpdateInterval(r.peers.Size()+1))
	if due {
		r.updatePeers(now)
	}
	if schedule > 0 {
		time.AfterFunc(schedule, func() {
			r.peerUpdates.beginScheduled(time.Now())
			r.updatePeers(time.Now())
		})
	}
}
