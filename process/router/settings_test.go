package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Intervals follow the deployment's bounds, so that tighter bounds are met.
func TestIntervalsFollowBounds(t *testing.T) {
	c := qt.New(t)
	usual := Settings{Bounds: Bounds{Contact: 3 * time.Second, Drain: 2 * time.Second}}
	c.Assert(usual.storeLongPoll()+storeTimeout <= usual.Contact, qt.IsTrue)
	c.Assert(usual.endpointReadInterval(), qt.Equals, 900*time.Millisecond)
	tight := Settings{Bounds: Bounds{Contact: 2 * time.Second, Drain: time.Second}}
	c.Assert(tight.storeLongPoll()+storeTimeout <= tight.Contact, qt.IsTrue)
	c.Assert(tight.endpointReadInterval(), qt.Equals, 450*time.Millisecond)
	for _, apply := range []time.Duration{2 * time.Second, 3 * time.Second} {
		b := Bounds{Contact: 4 * time.Second, ConfigApply: apply}
		c.Assert(b.storeLongPoll()+longPollTimeout+ownReadTime <= apply, qt.IsTrue)
	}
	r := Router{s: usual}
	r.bounds.Store(&usual.Bounds)
	for _, n := range []int{2, 7, 59, 330, 1000} {
		c.Assert(r.deadAfter(n) < usual.Contact+3*time.Second, qt.IsTrue)
	}
}
