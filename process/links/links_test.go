package links

import (
	"slices"
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
	c.Assert(t.Failed(t0, "s", "e1", 4), qt.IsFalse)
	c.Assert(t.Conclude("s", func() {}), qt.IsFalse)
	c.Assert(t.Failed(t0, "s", "e1", 4), qt.IsFalse)
	c.Assert(t.Failed(t0, "s", "e2", 4), qt.IsTrue)
	c.Assert(t.Conclude("s", func() { *concluded++ }), qt.IsTrue)
	endDoubt(c, t, "s")
	c.Assert(t.Conclude("s", func() {}), qt.IsTrue)
	return t
}

// probe is a probe of four endpoints which began at a time, and in which some accepted a connection.
func probe(ms int, accepting ...string) Probe {
	p := Probe{Began: at(ms), Accepting: accepting}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		if !slices.Contains(accepting, id) {
			p.Failing = append(p.Failing, id)
		}
	}
	return p
}

// reaches lets a probe of a lost service find that all endpoints accept connections.
func reaches(t *Table, ms int) (conclusions []func()) {
	conclusions, _, _ = t.Probed("s", probe(ms, "e1", "e2", "e3", "e4"))
	return conclusions
}

// endDoubt lets a probe find that no endpoint accepts a connection.
func endDoubt(c *qt.C, t *Table, service string) {
	conclusions, change, lost := t.EndDoubt(service, probe(0))
	c.Assert(lost && change.Lost, qt.IsTrue)
	c.Assert(conclusions, qt.HasLen, 0)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
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
	_, _, own := links.Probed("s", probe(1))
	c.Assert(own, qt.IsFalse) // nobody told of a response
	links.MergeReached(at(100), map[string]int64{"s": 20})
	_, _, own = links.Probed("s", probe(70))
	c.Assert(own, qt.IsFalse) // the endpoint may have returned after this probe
	_, _, own = links.Probed("s", probe(150))
	c.Assert(own, qt.IsFalse) // the endpoints may have gone down since
	links.MergeReached(at(250), map[string]int64{"s": 20})
	_, change, own := links.Probed("s", probe(300))
	c.Assert(own && change.OwnFault, qt.IsTrue)
	carryOut(reaches(links, 390))
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
		conclusions, _, own := links.Probed("s", probe(ms))
		c.Assert(own, qt.IsFalse)
		c.Assert(conclusions, qt.HasLen, 0)
	}
	links.MergeReached(at(2000), map[string]int64{"s": 10})
	carryOut(reaches(links, 2050)) // the first probe since
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
	reaches(links, 500)
	c.Assert(links.UseRelay(at(500), "s", false), qt.IsTrue)
	c.Assert(links.UseRelay(at(500), "s", true), qt.IsFalse) // the trial
	c.Assert(links.UseRelay(at(501), "s", true), qt.IsTrue)
	links.Failed(at(900), "s", "e1", 4) // it got no response
	c.Assert(links.UseRelay(at(3500), "s", true), qt.IsTrue)
	reaches(links, 4000)
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
	reaches(links, 500)
	c.Assert(links.UseRelay(at(2400), "s", false), qt.IsTrue)
	c.Assert(links.UseRelay(at(2500), "s", false), qt.IsFalse)
}

// One failure is enough while another service is lost.
func TestSecondServiceIsDoubtedSooner(t *testing.T) {
	c := qt.New(t)
	n := 0
	links := lose(c, &n)
	c.Assert(links.Failed(at(1), "other", "x", 4), qt.IsTrue)
	endDoubt(c, links, "other")
	c.Assert(links.Lost(), qt.HasLen, 2)
	single := New()
	c.Assert(single.Failed(at(1), "s", "x", 1), qt.IsTrue)
}

// Guards against crashes that are told late, and requests that are passed on for nothing,
// since endpoints that went down are taken for broken links.
func TestServiceIsNotLostWhileOtherEndpointsAcceptConnections(t *testing.T) {
	c := qt.New(t)
	links, concluded := New(), 0
	links.Failed(t0, "s", "e1", 12)
	for _, id := range []string{"e2", "e3", "e4", "e5", "e6"} {
		c.Assert(links.Failed(t0, "s", id, 12), qt.IsTrue)
		c.Assert(links.Failed(t0, "s", "e1", 12), qt.IsFalse) // one probe at a time
		c.Assert(links.Conclude("s", func() { concluded++ }), qt.IsTrue)
		c.Assert(links.UseRelay(t0, "s", true), qt.IsFalse)
		settled := links.Settled("s")
		c.Assert(isClosed(settled), qt.IsFalse)
		conclusions, _, lost := links.EndDoubt("s", Probe{Accepting: []string{"e7", "e8", "e9", "e10", "e11", "e12"}, Failing: []string{"e1", "e2", "e3", "e4", "e5", "e6"}})
		c.Assert(lost, qt.IsFalse)
		c.Assert(isClosed(settled) && isClosed(links.Settled("s")), qt.IsTrue)
		carryOut(conclusions)
	}
	c.Assert(concluded, qt.Equals, 5)
	c.Assert(links.Conclude("s", func() {}), qt.IsFalse)
	c.Assert(links.Lost(), qt.HasLen, 0)
}

// Endpoints that accept connections but send no response make a service lost.
func TestServiceWithoutResponsesIsLost(t *testing.T) {
	for _, play := range []struct {
		accepting []string
		lost      bool
	}{
		{[]string{"e1", "e2", "e9"}, true}, // enough of them failed
		{[]string{"e1", "e9"}, false},      // e9 may respond
		{[]string{"e1"}, true},
	} {
		c := qt.New(t)
		links := New()
		links.Failed(t0, "s", "e1", 12)
		links.Failed(t0, "s", "e2", 12)
		_, _, lost := links.EndDoubt("s", Probe{Accepting: play.accepting})
		c.Assert(lost, qt.Equals, play.lost)
		c.Assert(links.UseRelay(t0, "s", false), qt.Equals, play.lost)
	}
}

// A router that reaches few endpoints of a service sends its requests through others, whatever
// responses these few give.
func TestServiceWithFewEndpointsInReachIsLost(t *testing.T) {
	c := qt.New(t)
	links, concluded := New(), 0
	links.Failed(t0, "s", "e1", 4)
	links.Failed(t0, "s", "e2", 4)
	links.Conclude("s", func() { concluded++ })
	conclusions, _, lost := links.EndDoubt("s", probe(0, "e4"))
	carryOut(conclusions)
	c.Assert(lost, qt.IsTrue)
	carryOut(links.Connects(at(50), "s"))
	_, _, changed := links.Proved(at(60), "s")
	c.Assert(changed, qt.IsFalse)
	c.Assert(links.UseRelay(at(60), "s", true), qt.IsTrue)
	c.Assert(concluded, qt.Equals, 0)
	conclusions, _, _ = links.Probed("s", probe(1000, "e3", "e4"))
	carryOut(conclusions)
	_, _, changed = links.Proved(at(1010), "s")
	c.Assert(changed, qt.IsTrue)
}

// Guards against crashes that are taken for broken links: another router got responses of the
// last endpoints before these went down too, or of a process that has started again.
func TestCrashesOfAllEndpointsAreNotOwnFault(t *testing.T) {
	c := qt.New(t)
	concluded := 0
	links := lose(c, &concluded)
	links.MergeReached(at(60), map[string]int64{"s": 10})
	for ms := 100; ms < 1000; ms += 150 {
		_, _, own := links.Probed("s", probe(ms))
		c.Assert(own, qt.IsFalse)
	}
	links.MergeReached(at(1010), map[string]int64{"s": 10}) // by the first that is up again
	carryOut(reaches(links, 1020))
	c.Assert(concluded, qt.Equals, 1)
}

// A response long after the loss shows it too, as few requests may come to the other routers.
func TestLaterResponseShowsOwnFault(t *testing.T) {
	c := qt.New(t)
	concluded := 0
	links := lose(c, &concluded)
	links.Probed("s", probe(100))
	links.MergeReached(at(2000), map[string]int64{"s": 10})
	_, _, own := links.Probed("s", probe(2100))
	c.Assert(own, qt.IsTrue)
}

// If no other router reaches the service either, what broke counts once an endpoint accepts
// connections, though most do not.
func TestConclusionsCountWhileFewEndpointsAreUp(t *testing.T) {
	c := qt.New(t)
	concluded := 0
	links := lose(c, &concluded)
	conclusions, _, _ := links.Probed("s", probe(150, "e4"))
	c.Assert(conclusions, qt.HasLen, 0) // another router may still tell that it reaches the service
	conclusions, _, own := links.Probed("s", probe(600, "e4"))
	c.Assert(own, qt.IsFalse)
	carryOut(conclusions)
	c.Assert(concluded, qt.Equals, 1)
}

// Guards against a service whose endpoints are slow and that is taken for one out of reach.
func TestSlowEndpointsAreNotLost(t *testing.T) {
	c := qt.New(t)
	links := New()
	doubt := func(ms int) {
		c.Assert(links.Late(at(ms), "s", "e1", 4), qt.IsFalse)
		c.Assert(links.Late(at(ms), "s", "e2", 4), qt.IsTrue)
	}
	doubt(0)
	p := probe(0, "e1", "e2", "e3", "e4")
	p.Responding = []string{"e1", "e2"}
	_, _, lost := links.EndDoubt("s", p)
	c.Assert(lost, qt.IsFalse)
	c.Assert(links.HasFailed("s", "e1"), qt.IsFalse)
	c.Assert(links.Late(at(100), "s", "e3", 4), qt.IsFalse)
	c.Assert(links.Late(at(200), "s", "e1", 4), qt.IsFalse)
	c.Assert(links.Failed(at(300), "s", "e4", 4), qt.IsTrue) // what is refused counts at once
	p.Responding = p.Accepting
	_, _, lost = links.EndDoubt("s", p)
	c.Assert(lost, qt.IsFalse)

	links = New()
	doubt(0)
	_, _, lost = links.EndDoubt("s", probe(0, "e1", "e2", "e3", "e4")) // they accept and are silent
	c.Assert(lost, qt.IsTrue)
}
