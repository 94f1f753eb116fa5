package links

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// lose makes a service of four endpoints lost at t0 and keeps a conclusion.
func lose(c *qt.C, concluded *int) *Table {
	t := New()
	t.Proved(at(-10), "s")
	_, lost := t.Failed(t0, "s", "e1", 4)
	c.Assert(lost, qt.IsFalse)
	c.Assert(t.Conclude("s", func() {}), qt.IsFalse)
	_, lost = t.Failed(t0, "s", "e1", 4)
	c.Assert(lost, qt.IsFalse)
	_, lost = t.Failed(t0, "s", "e2", 4)
	c.Assert(lost, qt.IsTrue)
	c.Assert(t.Conclude("s", func() { *concluded++ }), qt.IsTrue)
	return t
}

func carryOut(list []func()) {
	for _, f := range list {
		f()
	}
}

// Guards against conclusions from a router's own broken links.
func TestConclusionsOfARouterWithoutLinksAreDropped(t *testing.T) {
	c := qt.New(t)
	concluded := 0
	links := lose(c, &concluded)
	_, own := links.ProbeFailed(at(1), "s")
	c.Assert(own, qt.IsFalse) // nobody told of a response
	links.MergeReached(at(100), map[string]int64{"s": 20})
	_, own = links.ProbeFailed(at(70), "s")
	c.Assert(own, qt.IsFalse) // the endpoint may have returned after this probe
	change, own := links.ProbeFailed(at(150), "s")
	c.Assert(own && change.OwnFault, qt.IsTrue)
	list, change, changed := links.Proved(at(400), "s")
	carryOut(list)
	c.Assert(changed && change.OwnFault, qt.IsTrue)
	c.Assert(change.After, qt.Equals, 400*time.Millisecond)
	c.Assert(concluded, qt.Equals, 0)
}

// All endpoints of a service ended: the conclusions count once one responds.
func TestConclusionsCountIfNoRouterReachesTheService(t *testing.T) {
	c := qt.New(t)
	concluded := 0
	links := lose(c, &concluded)
	for ms := 100; ms < 2000; ms += 100 {
		links.MergeReached(at(ms), map[string]int64{"s": int64(ms + 5)}) // before the loss
		_, own := links.ProbeFailed(at(ms), "s")
		c.Assert(own, qt.IsFalse)
	}
	links.MergeReached(at(2000), map[string]int64{"s": 10})
	carryOut(links.Connects(at(2050), "s")) // the first probe since
	list, change, _ := links.Proved(at(2060), "s")
	carryOut(list)
	c.Assert(change.OwnFault, qt.IsFalse)
	c.Assert(concluded, qt.Equals, 1)
}

func TestRequestsReturnToProvedLinks(t *testing.T) {
	c := qt.New(t)
	n := 0
	links := lose(c, &n)
	c.Assert(links.UseRelay(t0, "other", true), qt.IsFalse)
	c.Assert(links.UseRelay(t0, "s", true), qt.IsTrue)
	links.Connects(at(500), "s")
	c.Assert(links.UseRelay(at(500), "s", false), qt.IsTrue)
	c.Assert(links.UseRelay(at(500), "s", true), qt.IsFalse) // the trial
	c.Assert(links.UseRelay(at(501), "s", true), qt.IsTrue)
	links.Failed(at(900), "s", "e1", 4) // it got no response
	c.Assert(links.UseRelay(at(3500), "s", true), qt.IsTrue)
	links.Connects(at(4000), "s")
	c.Assert(links.UseRelay(at(4000), "s", true), qt.IsFalse)
	_, _, changed := links.Proved(at(4010), "s")
	c.Assert(changed, qt.IsTrue)
	c.Assert(links.UseRelay(at(4011), "s", false), qt.IsFalse)
	c.Assert(links.Lost(), qt.HasLen, 0)
}

// A service without requests that may be repeated returns without a trial.
func TestServiceWithoutTrialsReturns(t *testing.T) {
	c := qt.New(t)
	n := 0
	links := lose(c, &n)
	links.Connects(at(500), "s")
	c.Assert(links.UseRelay(at(2400), "s", false), qt.IsTrue)
	c.Assert(links.UseRelay(at(2500), "s", false), qt.IsFalse)
}

// One failure is enough while another service is lost.
func TestSecondServiceIsLostSooner(t *testing.T) {
	c := qt.New(t)
	n := 0
	links := lose(c, &n)
	_, lost := links.Failed(at(1), "other", "x", 4)
	c.Assert(lost, qt.IsTrue)
	c.Assert(links.Lost(), qt.HasLen, 2)
	single := New()
	_, lost = single.Failed(at(1), "s", "x", 1)
	c.Assert(lost, qt.IsTrue)
}
