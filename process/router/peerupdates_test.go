package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// In a large fleet the updates are bounded, and each change is passed on within the interval.
func TestPeerUpdatesAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	interval := peerUpdateInterval(295)
	var u peerUpdates
	updates, pending := 0, time.Time{}
	for range 3000 { // heartbeats of 20 s
		now = now.Add(6700 * time.Microsecond)
		if !pending.IsZero() && !now.Before(pending) {
			u.beginScheduled(pending)
			updates, pending = updates+1, time.Time{}
		}
		due, schedule := u.begin(now, interval)
		if due {
			updates++
		}
		if schedule > 0 {
			c.Assert(pending.IsZero(), qt.IsTrue)
			c.Assert(schedule <= interval, qt.IsTrue)
			pending = now.Add(schedule)
		}
		c.Assert(due || !pending.IsZero(), qt.IsTrue) // no change waits for another heartbeat
	}
	c.Assert(float64(updates) <= 20/interval.Seconds()+2, qt.IsTrue, qt.Commentf("%d updates", updates))
}

func TestSmallFleetsUpdateAtOnce(t *testing.T) {
	c := qt.New(t)
	c.Assert(peerUpdateInterval(7), qt.Equals, time.Duration(0))
	c.Assert(peerUpdateInterval(295) <= 100*time.Millisecond, qt.IsTrue)
	var u peerUpdates
	for range 3 {
		due, _ := u.begin(time.Unix(1, 0), 0)
		c.Assert(due, qt.IsTrue)
	}
}
