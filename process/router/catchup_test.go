package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Unix(1_700_000_000, 0)

func TestStartingProcessWaitsForTheNewestConfiguration(t *testing.T) {
	c := qt.New(t)
	begin := func(alone bool) *catchUp {
		u := &catchUp{}
		u.start(t0, alone)
		return u
	}
	alone := begin(true)
	c.Assert(alone.mayServe(t0, 3), qt.IsTrue)

	first := begin(false)
	c.Assert(first.mayServe(t0, 3), qt.IsFalse)
	first.foundRouters(t0, 0)
	c.Assert(first.mayServe(t0, 3), qt.IsTrue, qt.Commentf("no other router is registered"))

	stale := begin(false)
	stale.foundRouters(t0, 2)
	c.Assert(stale.mayServe(t0.Add(greetingTimeKnown/2), 3), qt.IsFalse)
	c.Assert(stale.mayServe(t0.Add(greetingTimeKnown), 3), qt.IsTrue, qt.Commentf("the others do not answer"))

	behind := begin(false)
	behind.foundRouters(t0, 2)
	behind.heard(5)
	behind.heard(4)
	c.Assert(behind.mayServe(t0.Add(time.Second), 3), qt.IsFalse)
	c.Assert(behind.mayServe(t0.Add(time.Second), 5), qt.IsTrue)
	behind.heard(7)
	c.Assert(behind.mayServe(t0.Add(time.Second), 5), qt.IsTrue, qt.Commentf("it has caught up before"))

	forgotten := begin(false)
	forgotten.heard(5)
	c.Assert(forgotten.mayServe(t0.Add(catchUpTime), 3), qt.IsTrue, qt.Commentf("operators did not write again"))
}
