package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

var t0 = time.Unix(1_700_000_000, 0)

func config() Config {
	return Config{Zone: "a", RemovalGrace: 2 * time.Second, Bound: balance.Bound{Factor: 1.7, Extra: 2}, CapFactor: 1.7, CapExtra: 2,
		ColdOver: 1.5, ColdSlack: 5}
}

func newTable(n int) *Table {
	rng := rand.New(rand.NewPCG(1, 2))
	t := New(config(), rng.Float64)
	t.SetPeers("self", nil, 0, nil, 600*time.Millisecond)
	for i := range n {
		t.Apply(t0, []Change{put(i, nil)}, false)
	}
	return t
}

func put(i int, change func(*Entry)) Change {
	e := Entry{ID: fmt.Sprintf("e%d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 64, Started: 1}
	if change != nil {
		change(&e)
	}
	return Change{ID: e.ID, Entry: &e}
}

func acquire(t *Table, now time.Time, exclude ...string) (*balance.Grant, *balance.Refusal) {
	return t.Acquire(now, balance.Request{Service: "s", Exclude: exclude})
}

func TestDrainingAndOutOfServiceGetNoRequests(t *testing.T) {
	c := qt.New(t)
	table := newTable(2)
	table.Apply(t0, []Change{put(0, func(e *Entry) { e.Draining = true })}, false)
	for range 10 {
		g, refusal := acquire(table, t0)
		c.Assert(refusal, qt.IsNil)
		c.Assert(g.ID, qt.Equals, "e1")
	}
	table.SetZonesOut([]string{"a"})
	_, refusal := acquire(table, t0)
	c.Assert(refusal.Code, qt.Equals, outcome.NoEndpoint)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	table.SetZonesOut(nil)
	_, refusal = acquire(table, t0, "e1")
	c.Assert(refusal, qt.Not(qt.IsNil))
}

// Entries removed after the registry was unreachable are kept for a while; those
// that were draining, and those removed while it was reachable, are dropped at once.
func TestRemovals(t *testing.T) {
	c := qt.New(t)
	table := newTable(4)
	table.Apply(t0, []Change{put(2, func(e *Entry) { e.Draining = true })}, false)
	table.Apply(t0, []Change{{ID: "e0"}}, false)
	c.Assert(len(table.byID), qt.Equals, 3)
	table.Apply(t0, []Change{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}, true)
	c.Assert(len(table.byID), qt.Equals, 2)
	table.Apply(t0.Add(time.Second), []Change{put(3, nil)}, false)
	table.Sweep(t0.Add(3 * time.Second))
	c.Assert(len(table.byID), qt.Equals, 1)
	g, _ := acquire(table, t0.Add(3*time.Second))
	c.Assert(g.ID, qt.Equals, "e3")
}

// In any second, all routers together send a cold endpoint no more than the bound of
// its cold rate, ColdOver and ColdSlack, for several numbers of routers.
func TestColdRateOverAllRouters(t *testing.T) {
	c := qt.New(t)
	for _, routers := range []int{1, 2, 7, 40, 120} {
		names := make([]string, routers)
		for i := range names {
			names[i] = fmt.Sprintf("r%d", i)
		}
		tables := make([]*Table, routers)
		for i := range tables {
			tables[i] = newTable(0)
			var others []Peer
			for _, name := range append(append([]string{}, names[:i]...), names[i+1:]...) {
				others = append(others, Peer{Name: name, Heard: true})
			}
			tables[i].SetPeers(names[i], others, 0, nil, time.Second)
			tables[i].SetColdRates(map[string]float64{"s": 12})
			tables[i].Apply(t0, []Change{put(0, func(e *Entry) { e.ColdFor = time.Minute })}, false)
		}
		var sends []time.Time
		for ms := range 3000 {
			now := t0.Add(time.Duration(ms) * time.Millisecond)
			if g, _ := acquire(tables[ms%routers], now); g != nil {
				sends = append(sends, now)
			}
		}
		most := 0
		for i := range sends {
			n := 0
			for _, at := range sends[i:] {
				if at.Sub(sends[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		c.Assert(most <= 12*3/2+5, qt.IsTrue, qt.Commentf("%d routers sent %d requests", routers, most))
		c.Assert(most >= 10, qt.IsTrue, qt.Commentf("%d routers sent only %d requests", routers, most))
		_, refusal := acquire(tables[0], t0.Add(2999*time.Millisecond))
		if refusal != nil {
			c.Assert(refusal.Code, qt.Equals, outcome.EndpointCold)
		}
	}
}

func TestEndpointThatResetsConnectionsIsEjectedAndNotDown(t *testing.T) {
	c := qt.New(t)
	table := newTable(2)
	g, _ := table.Acquire(t0, balance.Request{Service: "s", Exclude: []string{"e1"}})
	c.Assert(table.Release(t0.Add(time.Millisecond), g, balance.ResetAtOnce, 0), qt.IsTrue)
	c.Assert(table.DownSince(t0, g), qt.IsFalse)
}

// An unreachable endpoint is ejected, and treated as cold until the registry has
// had time to show its state.
func TestUnreachableEndpointIsEjected(t *testing.T) {
	c := qt.New(t)
	table := newTable(2)
	table.SetColdRates(map[string]float64{"s": 1})
	g, _ := table.Acquire(t0, balance.Request{Service: "s", Exclude: []string{"e1"}})
	c.Assert(table.Release(t0, g, balance.NotReached, 0), qt.IsTrue)
	for range 20 {
		g, _ := acquire(table, t0.Add(time.Second))
		c.Assert(g.ID, qt.Equals, "e1")
	}
	later, sent := t0.Add(2*time.Second), 0
	for range 50 {
		if g, _ := acquire(table, later, "e1"); g != nil {
			sent++
			table.Release(later, g, balance.NoFailure, time.Millisecond)
		}
	}
	c.Assert(sent > 0 && sent <= 6, qt.IsTrue) // 1 x 1.5 + 5
	later = later.Add(2 * time.Second)
	g, _ = acquire(table, later, "e1")
	table.Release(later, g, balance.NoFailure, time.Millisecond)
	for range 20 {
		g, refusal := acquire(table, later, "e1")
		c.Assert(refusal, qt.IsNil)
		table.Release(later, g, balance.NoFailure, time.Millisecond)
	}
}

// If all endpoints are ejected, they are used all the same.
func TestLastEndpointsAreUsedThoughEjected(t *testing.T) {
	c := qt.New(t)
	table := newTable(2)
	for _, other := range []string{"e0", "e1"} {
		for range 5 {
			if g, _ := acquire(table, t0, other); g != nil {
				table.Release(t0, g, balance.Broken, 0)
			}
		}
	}
	_, refusal := acquire(table, t0)
	c.Assert(refusal, qt.IsNil)
	c.Assert(table.CountHealthy(t0, balance.Request{Service: "s"}), qt.Equals, 0)
}

// An endpoint with a far higher error rate than the others is ejected for a while;
// errors that all share eject none.
func TestErrorRateEjection(t *testing.T) {
	c := qt.New(t)
	play := func(rates ...float64) *Table {
		rng := rand.New(rand.NewPCG(3, 4))
		table := newTable(len(rates))
		for range 40 {
			for i, rate := range rates {
				others := make([]string, 0, len(rates))
				for o := range rates {
					if o != i {
						others = append(others, fmt.Sprintf("e%d", o))
					}
				}
				g, _ := acquire(table, t0, others...)
				f := balance.NoFailure
				if rng.Float64() < rate {
					f = balance.ServerError
				}
				table.Release(t0, g, f, 10*time.Millisecond)
			}
		}
		return table
	}
	c.Assert(play(0.1, 0.1, 0.9, 0.1).CountHealthy(t0, balance.Request{Service: "s"}), qt.Equals, 3)
	c.Assert(play(0.95, 0.95, 0.95, 0.95).CountHealthy(t0, balance.Request{Service: "s"}), qt.Equals, 4)
}

// A slow endpoint gets few requests.
func TestSlowEndpointGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	table := newTable(3)
	counts := make(map[string]int)
	now := t0
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		g, _ := acquire(table, now)
		latency := 15 * time.Millisecond
		if g.ID == "e0" {
			latency = 150 * time.Millisecond
		}
		counts[g.ID]++
		table.Release(now, g, balance.NoFailure, latency)
	}
	c.Assert(counts["e0"] < 20, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["e1"] > 60 && counts["e2"] > 60, qt.IsTrue, qt.Commentf("%v", counts))
}

// A key stays at its endpoint. Where it must move, the new endpoint gets the
// address of the cache entries, also from routers that know the placement only from
// a heartbeat.
func TestKeyStaysWithHolderAndNamesFetchSource(t *testing.T) {
	c := qt.New(t)
	table, other := newTable(4), newTable(4)
	want := balance.Request{Service: "s", Key: 77, HasKey: true}
	g, _ := table.Acquire(t0, want)
	c.Assert(g.FetchFrom, qt.Equals, "")
	holder := g.ID
	table.Release(t0, g, balance.NoFailure, time.Millisecond)
	for key, id := range table.TakeNewPlacements() {
		other.RecordPlacement(t0, key, id)
	}
	for range 5 {
		g, _ := other.Acquire(t0, want)
		c.Assert(g.ID, qt.Equals, holder)
		c.Assert(g.KeyCached, qt.IsTrue)
		other.Release(t0, g, balance.NoFailure, time.Millisecond)
	}
	entry := *put(int(holder[1]-'0'), nil).Entry
	other.Apply(t0, []Change{{ID: holder, Entry: &Entry{ID: holder, Service: "s", Addr: entry.Addr, Zone: "a", Slots: 64, Started: 1, Draining: true}}}, false)
	g, _ = other.Acquire(t0, want)
	c.Assert(g.ID, qt.Not(qt.Equals), holder)
	c.Assert(g.FetchFrom, qt.Equals, entry.Addr)

	table.Apply(t0, []Change{{ID: holder}}, false) // removed without draining first
	g, _ = table.Acquire(t0.Add(time.Second), want)
	c.Assert(g.FetchFrom, qt.Equals, entry.Addr)
	again := newTable(4)
	again.RestorePlacements(t0, other.Placements(t0.Add(-time.Minute)))
	h, _ := again.Acquire(t0, want)
	c.Assert(h.KeyCached, qt.IsTrue)
}

// The keys cached by a restarted endpoint are dropped, and its old requests are not
// counted twice.
func TestRestartUnderTheSameID(t *testing.T) {
	c := qt.New(t)
	table := newTable(2)
	want := balance.Request{Service: "s", Key: 5, HasKey: true}
	g, _ := table.Acquire(t0, want)
	i := int(g.ID[1] - '0')
	table.Apply(t0, []Change{put(i, func(e *Entry) { e.Started = 2 })}, false)
	c.Assert(table.Running(t0.Add(time.Minute)), qt.DeepEquals, map[string]float64{g.ID: 1})
	c.Assert(table.Release(t0, g, balance.NotReached, 0), qt.IsFalse)
	c.Assert(table.Running(t0.Add(2*time.Minute)), qt.HasLen, 0)
	h, _ := table.Acquire(t0, want)
	c.Assert(h.KeyCached, qt.IsFalse)
}

// The load that an endpoint reports replaces a lower one of heartbeats for a moment.
func TestReportedLoadReplacesLowerHeartbeatLoad(t *testing.T) {
	c := qt.New(t)
	table := newTable(3)
	want := balance.Request{Service: "s", Key: 9, HasKey: true}
	g, _ := table.Acquire(t0, want)
	table.RecordLoad(t0, g, 40)
	h, _ := table.Acquire(t0, want)
	c.Assert(h.ID, qt.Not(qt.Equals), g.ID)
	c.Assert(h.FetchFrom, qt.Equals, g.Addr)
	table.Release(t0, h, balance.NoFailure, time.Millisecond)
	later := t0.Add(time.Second)
	busy := map[string]float64{"e0": 3, "e1": 3, "e2": 3}
	table.SetPeers("self", nil, 0, busy, time.Second)
	h, _ = table.Acquire(later, want)
	c.Assert(h.KeyCached, qt.IsTrue)
}

// Guards against routers that learn of an overload only by counts, which are older than the overload.
func TestOverloadIsToldToOtherRouters(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newTable(3), newTable(3)
	want := balance.Request{Service: "s", Key: 9, HasKey: true}
	g, _ := ours.Acquire(t0, want)
	c.Assert(ours.RecordLoad(t0, g, 1), qt.IsFalse)
	c.Assert(ours.TakeLoadReports(t0), qt.HasLen, 0) // not more than it may run
	c.Assert(ours.RecordLoad(t0, g, 40), qt.IsTrue)
	c.Assert(ours.RecordLoad(t0, g, 40), qt.IsFalse, qt.Commentf("known"))
	later := t0.Add(100 * time.Millisecond)
	told := ours.TakeLoadReports(later)
	c.Assert(told, qt.DeepEquals, []LoadReport{{Incarnation{g.ID, 1}, 40, 100}})
	c.Assert(ours.TakeLoadReports(later), qt.HasLen, 0, qt.Commentf("told already"))

	theirs.RecordPlacement(later, want.Key, g.ID)
	theirs.MergeLoadReports(later, told)
	c.Assert(theirs.TakeLoadReports(later), qt.HasLen, 0, qt.Commentf("not told on"))
	h, _ := theirs.Acquire(later, want)
	c.Assert(h.ID, qt.Not(qt.Equals), g.ID)
	theirs.Release(later, h, balance.NoFailure, time.Millisecond)
	theirs.holders.dropEndpoint(h.ID)
	h, _ = theirs.Acquire(later.Add(time.Second), want)
	c.Assert(h.ID, qt.Equals, g.ID, qt.Commentf("the report is outdated"))
	theirs.MergeLoadReports(later, []LoadReport{{Incarnation{g.ID, 2}, 40, 0}, {Incarnation{"other", 1}, 40, 0}, {Incarnation{g.ID, 1}, 40, -1}})
	c.Assert(theirs.byID[g.ID].report.at, qt.Equals, t0, qt.Commentf("of another process, or not from the past"))
	theirs.MergeLoadReports(later, []LoadReport{{Incarnation{g.ID, 1}, math.MaxInt, 0}, {Incarnation{g.ID, 1}, 40, math.MaxInt64}})
	h, _ = theirs.Acquire(later, want)
	c.Assert(h.ID, qt.Not(qt.Equals), g.ID, qt.Commentf("an absurd load"))
}

// Callers of a service whose endpoints are all gone get retry times at which these
// are likely to serve again, spread over time.
func TestRetryAfterOfServiceDown(t *testing.T) {
	c := qt.New(t)
	table := newTable(0)
	times := make(map[time.Duration]bool)
	for range 20 {
		_, refusal := acquire(table, t0)
		c.Assert(refusal.RetryAfter >= endpointRestartTime && refusal.RetryAfter <= endpointRestartTime*7/5, qt.IsTrue)
		times[refusal.RetryAfter] = true
	}
	c.Assert(len(times) > 15, qt.IsTrue)
	_, refusal := acquire(table, t0.Add(2*time.Second))
	c.Assert(refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter < time.Second, qt.IsTrue)
	table.Apply(t0, []Change{put(0, nil)}, false)
	g, _ := acquire(table, t0.Add(2*time.Second))
	table.Release(t0.Add(2*time.Second), g, balance.NoFailure, time.Millisecond)
	table.Apply(t0, []Change{{ID: "e0"}}, false)
	_, refusal = acquire(table, t0.Add(3*time.Second))
	c.Assert(refusal.RetryAfter >= endpointRestartTime, qt.IsTrue)
}

// Heartbeats carry the number of requests smoothed over an interval: a burst that
// has ended does not look like load, nor a pause like an idle endpoint.
func TestSmoothedCounts(t *testing.T) {
	c := qt.New(t)
	table := newTable(1)
	now := t0
	table.Running(now)
	for range 200 { // half of the time two requests run
		for range 2 {
			_, _ = acquire(table, now)
		}
		now = now.Add(50 * time.Millisecond)
		for range 2 {
			table.Release(now, &balance.Grant{ID: "e0", Started: 1}, balance.NoFailure, time.Millisecond)
		}
		now = now.Add(50 * time.Millisecond)
	}
	reported := table.Running(now)["e0"]
	c.Assert(reported > 0.7 && reported < 1.3, qt.IsTrue, qt.Commentf("%v", reported))
}

// The endpoints of a service follow the registry after each change. They are ordered
// by ID, so that all routers have the same order.
func TestEndpointsOfAService(t *testing.T) {
	c := qt.New(t)
	table := newTable(3)
	ids := func(service string) (list []string) {
		for _, ep := range table.endpointsOf(service) {
			list = append(list, ep.ID)
		}
		return list
	}
	c.Assert(ids("s"), qt.DeepEquals, []string{"e0", "e1", "e2"})
	table.Apply(t0, []Change{put(5, nil), put(4, nil)}, false)
	c.Assert(ids("s"), qt.DeepEquals, []string{"e0", "e1", "e2", "e4", "e5"})
	table.Apply(t0, []Change{{ID: "e1"}, put(4, func(e *Entry) { e.Service = "other" })}, false)
	c.Assert(ids("s"), qt.DeepEquals, []string{"e0", "e2", "e5"})
	c.Assert(ids("other"), qt.DeepEquals, []string{"e4"})
	table.Apply(t0, []Change{{ID: "e2"}}, true)
	c.Assert(ids("s"), qt.HasLen, 3)
	table.Sweep(t0.Add(time.Minute))
	c.Assert(ids("s"), qt.DeepEquals, []string{"e0", "e5"})
}

// A stream that goes on gets only endpoints of its version. That none is left says
// nothing about the service.
func TestRequestOfAVersionGetsOnlyItsEndpoints(t *testing.T) {
	c := qt.New(t)
	table := newTable(0)
	for i := range 4 {
		table.Apply(t0, []Change{put(i, func(e *Entry) { e.Version = fmt.Sprintf("v%d", i%2) })}, false)
	}
	version := "v1"
	req := balance.Request{Service: "s", Version: &version, Key: 7, HasKey: true}
	for range 20 {
		g, refusal := table.Acquire(t0, req)
		c.Assert(refusal, qt.IsNil)
		c.Assert(g.Version, qt.Equals, version)
	}
	c.Assert(table.CountHealthy(t0, req), qt.Equals, 2)
	table.Apply(t0, []Change{{ID: "e1"}, {ID: "e3"}}, false)
	_, refusal := table.Acquire(t0, req)
	c.Assert(refusal.Code, qt.Equals, outcome.NoEndpoint)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(table.ServiceDown(t0), qt.IsFalse)
	_, refusal = acquire(table, t0)
	c.Assert(refusal, qt.IsNil)
}

func TestPauseOfEndpointIsBounded(t *testing.T) {
	c := qt.New(t)
	table := newTable(1)
	g, _ := acquire(table, t0)
	table.RecordRetryAfter(t0, g, 24*time.Hour)
	table.RecordRetryAfter(t0, g, time.Second) // a later, shorter one does not end it
	_, refusal := acquire(table, t0.Add(time.Minute))
	c.Assert(refusal.Code, qt.Equals, outcome.EndpointAtCap)
	c.Assert(refusal.RetryAfter, qt.Equals, maxPause-time.Minute)
	_, refusal = acquire(table, t0.Add(maxPause))
	c.Assert(refusal, qt.IsNil)
	table.RecordRetryAfter(t0.Add(maxPause), g, time.Minute)
	table.Apply(t0, []Change{put(0, func(e *Entry) { e.Started++ })}, false)
	_, refusal = acquire(table, t0.Add(maxPause))
	c.Assert(refusal, qt.IsNil)
}

func TestSilentEndpointIsProbedRarely(t *testing.T) {
	c := qt.New(t)
	table := newTable(1)
	g, _ := acquire(table, t0)
	sent := t0
	c.Assert(table.Probe(t0.Add(time.Second), sent, g), qt.IsTrue)
	c.Assert(table.Probe(t0.Add(probeInterval), sent, g), qt.IsFalse, qt.Commentf("probed a moment before"))
	later := t0.Add(time.Second + probeInterval)
	c.Assert(table.Probe(later, sent, g), qt.IsTrue)
	table.RecordLoad(later.Add(time.Millisecond), g, 3)
	c.Assert(table.Probe(later.Add(2*probeInterval), sent, g), qt.IsFalse, qt.Commentf("it responded meanwhile"))
	other := *g
	other.Started++
	c.Assert(table.Probe(later.Add(3*probeInterval), later.Add(probeInterval), &other), qt.IsFalse, qt.Commentf("another process"))
}

// A router whose reads had a gap keeps endpoints that are missing, unless one without a gap tells that
// they were removed, before or after that read.
func TestRemovalReadWithoutGapIsTold(t *testing.T) {
	removal := Change{ID: "e0"}
	entry := func(table *Table, sequence int64) {
		table.Apply(t0, []Change{put(0, func(e *Entry) { e.Sequence = sequence })}, false)
	}
	for name, told := range map[string]func(table *Table, list []Removal){
		"before the read": func(table *Table, list []Removal) {
			table.MergeRemovals(t0, list)
			table.Apply(t0, []Change{removal}, true)
		},
		"after the read": func(table *Table, list []Removal) {
			table.Apply(t0, []Change{removal}, true)
			table.MergeRemovals(t0, list)
		},
	} {
		for _, test := range []struct {
			sequence int64 // of the last entry that this router has read
			kept     bool
		}{{6, false}, {7, false}, {8, true}} {
			t.Run(fmt.Sprintf("%s, entry %d", name, test.sequence), func(t *testing.T) {
				c := qt.New(t)
				other, table := newTable(2), newTable(2)
				entry(other, 7)
				c.Assert(other.NewRemovals(t0), qt.HasLen, 0)
				other.Apply(t0, []Change{removal}, false)
				entry(table, test.sequence)
				told(table, other.NewRemovals(t0))
				c.Assert(table.byID["e0"] != nil, qt.Equals, test.kept)
				c.Assert(other.NewRemovals(t0.Add(leavingReportTime)), qt.HasLen, 0)
				c.Assert(table.NewRemovals(t0), qt.HasLen, 0) // told by its reader only
			})
		}
	}
}
