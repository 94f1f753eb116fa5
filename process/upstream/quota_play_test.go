package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/balance"
)

// limitPlay is a fleet before one limited endpoint, in simulated time.
type limitPlay struct {
	routers int
	demand  func(router int, at time.Duration) float64 // requests a second
	limit   func(at time.Duration) float64
	cut     func(a, b int, at time.Duration) bool // routers that do not hear one another
	down    func(router int, at time.Duration) bool
	loss    float64 // of heartbeats
	least   float64 // fraction of the limit that is used at least
}

const (
	limitPlayLength = 30 * time.Second
	limitPlayStep   = 5 * time.Millisecond
	limitRuleWindow = 4 * time.Second
	limitRuleFrom   = 3 * time.Second // contact time
	limitLostAfter  = 750 * time.Millisecond
)

// run returns when requests were sent, by routers that run.
func (p limitPlay) run(seed uint64) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	interval := max(250*time.Millisecond, time.Duration(p.routers)*time.Second/150)
	names := make([]string, p.routers)
	tables := make([]*Table, p.routers)
	heardAt := make([][]time.Duration, p.routers)
	demands := make([][]map[string]int, p.routers)
	wasDown := make([]bool, p.routers)
	begin := func(i int) {
		tables[i] = New(config(), rng.Float64)
		tables[i].Apply(t0, []Change{put(0, nil)}, false)
		heardAt[i] = make([]time.Duration, p.routers)
		demands[i] = make([]map[string]int, p.routers)
		for j := range heardAt[i] {
			heardAt[i][j] = -time.Hour
		}
	}
	for i := range names {
		names[i] = fmt.Sprint("r", i)
		begin(i)
	}
	setPeers := func(i int, at time.Duration) {
		var others []Peer
		for j := range names {
			if j != i {
				others = append(others, Peer{Name: names[j], Heard: at-heardAt[i][j] < limitLostAfter, Demand: demands[i][j]})
			}
		}
		tables[i].SetPeers(names[i], others, p.routers-1, nil, interval)
	}
	type heartbeat struct {
		from, to int
		arrives  time.Duration
		limits   []Restriction
		demand   map[string]int
	}
	var sends []time.Duration
	var inFlight []heartbeat
	next := make([]time.Duration, p.routers)
	for i := range next {
		next[i] = time.Duration(rng.Float64() * float64(interval))
	}
	for at := time.Duration(0); at < limitPlayLength; at += limitPlayStep {
		now := t0.Add(at)
		waiting := inFlight[:0]
		for _, h := range inFlight {
			switch {
			case h.arrives > at:
				waiting = append(waiting, h)
			case p.down != nil && p.down(h.to, at):
			default:
				heardAt[h.to][h.from], demands[h.to][h.from] = at, h.demand
				tables[h.to].MergeRestrictions(now, names[h.from], h.limits)
				setPeers(h.to, at)
			}
		}
		inFlight = waiting
		for _, i := range rng.Perm(p.routers) {
			if down := p.down != nil && p.down(i, at); down || wasDown[i] {
				if !down {
					begin(i)
				}
				wasDown[i] = down
				if down {
					continue
				}
			}
			if at >= next[i] {
				next[i] = at + interval
				setPeers(i, at)
				limits, demand := tables[i].Restrictions(now), tables[i].Demand(now)
				for j := range names {
					if j != i && rng.Float64() >= p.loss && (p.cut == nil || !p.cut(i, j, at)) {
						inFlight = append(inFlight, heartbeat{i, j, at + 5*time.Millisecond, limits, demand})
					}
				}
			}
			for n := rng.ExpFloat64(); n < p.demand(i, at)*limitPlayStep.Seconds(); n += rng.ExpFloat64() {
				g, _ := tables[i].Acquire(now, balance.Request{Service: "s", Class: "c"})
				if g == nil {
					continue
				}
				sends = append(sends, at)
				tables[i].RecordAnnouncement(now, g, balance.Announcement{Limited: true, PerSecond: p.limit(at)})
				tables[i].Release(now, g, balance.NoFailure, time.Millisecond)
			}
		}
	}
	return sends
}

// mostOver returns the largest number of requests in a window of the rule beyond what the
// limit allows, and the fraction of the limit that was used.
func (p limitPlay) mostOver(sends []time.Duration) (over int, used float64) {
	over, allowed, n := math.MinInt, 0.0, 0
	for i, first := range sends {
		if first < limitRuleFrom {
			continue
		}
		n++
		last := i
		for last < len(sends) && sends[last]-first < limitRuleWindow {
			last++
		}
		bound := 1.5*p.limit(first)*limitRuleWindow.Seconds() + 5
		over = max(over, last-i-int(bound))
	}
	for at := limitRuleFrom; at < limitPlayLength; at += limitPlayStep {
		allowed += p.limit(at) * limitPlayStep.Seconds()
	}
	return over, float64(n) / allowed
}

// Guards against routers that send a limited endpoint more than it named while their views
// differ, and against quota that is left unused where the demand is.
func TestLimitHoldsOverAllRouters(t *testing.T) {
	even := func(perSecond float64, routers int) func(int, time.Duration) float64 {
		return func(int, time.Duration) float64 { return perSecond / float64(routers) }
	}
	constant := func(limit float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return limit }
	}
	between := func(at, from, to time.Duration) bool { return at >= from && at < to }
	for name, p := range map[string]limitPlay{
		"even demand":        {routers: 7, demand: even(40, 7), limit: constant(3.2), least: 0.7},
		"even demand, 60":    {routers: 60, demand: even(80, 60), limit: constant(3.2), least: 0.7},
		"large limit, 60":    {routers: 60, demand: even(300, 60), limit: constant(40), least: 0.7},
		"under one a second": {routers: 7, demand: even(40, 7), limit: constant(0.3), least: 0.7},
		"under one, 60":      {routers: 60, demand: even(80, 60), limit: constant(0.5), least: 0.7},
		"zero":               {routers: 7, demand: even(40, 7), limit: constant(0)},
		"heartbeats lost":    {routers: 7, demand: even(40, 7), limit: constant(3.2), loss: 0.3, least: 0.6},
		"demand at one":      {routers: 7, demand: func(i int, _ time.Duration) float64 { return map[bool]float64{true: 40}[i == 3] }, limit: constant(6.5), least: 0.7},
		"demand at one, 60":  {routers: 60, demand: func(i int, _ time.Duration) float64 { return map[bool]float64{true: 40}[i == 3] }, limit: constant(6.5), least: 0.7},
		"demand moves": {routers: 7, demand: func(i int, at time.Duration) float64 {
			return map[bool]float64{true: 40}[int(at/(3*time.Second))%7 == i]
		}, limit: constant(6.5), least: 0.5},
		"demand in bursts": {routers: 7, demand: func(i int, at time.Duration) float64 { return map[bool]float64{true: 60}[int(at/time.Second)%3 == 0] }, limit: constant(4)},
		"one partitioned": {routers: 7, demand: even(40, 7), limit: constant(3.2), cut: func(a, b int, at time.Duration) bool {
			return (a == 0 || b == 0) && between(at, 10*time.Second, 25*time.Second)
		}, least: 0.6},
		"one with all the demand partitioned": {routers: 7, demand: func(i int, at time.Duration) float64 {
			if i == 0 || between(at, 12*time.Second, 25*time.Second) {
				return 40
			}
			return 0
		}, limit: constant(6.5), cut: func(a, b int, at time.Duration) bool {
			return (a == 0 || b == 0) && between(at, 10*time.Second, 25*time.Second)
		}},
		"halves partitioned": {routers: 7, demand: even(60, 7), limit: constant(5), cut: func(a, b int, at time.Duration) bool {
			return (a < 3) != (b < 3) && between(at, 10*time.Second, 25*time.Second)
		}, least: 0.6},
		"routers restart": {routers: 7, demand: even(60, 7), limit: constant(5), down: func(i int, at time.Duration) bool {
			return between(at, time.Duration(8+3*i)*time.Second, time.Duration(9+3*i)*time.Second)
		}, least: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			seeds := uint64(3)
			if p.routers > 7 {
				seeds = 1 // these plays are long
			}
			for seed := range seeds {
				over, used := p.mostOver(p.run(seed))
				t.Logf("seed %d: %d more than allowed in 4 s, %.2f of the limit used", seed, over, used)
				c.Check(over <= 0, qt.IsTrue)
				c.Check(used >= p.least, qt.IsTrue)
			}
		})
	}
}

// A limit that falls binds from the contact time on.
func TestLimitThatFalls(t *testing.T) {
	c := qt.New(t)
	const falls = 15 * time.Second
	p := limitPlay{routers: 7, demand: func(int, time.Duration) float64 { return 10 }, limit: func(at time.Duration) float64 {
		if at < falls {
			return 20
		}
		return 1
	}}
	most := 0
	sends := p.run(1)
	for i, first := range sends {
		n := 0
		for _, at := range sends[i:] {
			if first >= falls+limitRuleFrom && at-first < limitRuleWindow {
				n++
			}
		}
		most = max(most, n)
	}
	c.Assert(most <= 11, qt.IsTrue, qt.Commentf("%d requests in 4 s", most))
}

// Guards against limits that outlive their end, and against answers of before.
func TestNewestResponseDecidesTheLimit(t *testing.T) {
	c := qt.New(t)
	table := newTable(1)
	g, _ := acquire(table, t0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	c.Assert(table.RecordAnnouncement(at(1), g, balance.Announcement{}), qt.IsFalse)
	c.Assert(table.Restrictions(at(1)), qt.HasLen, 0)
	c.Assert(table.RecordAnnouncement(at(100), g, balance.Announcement{Limited: true, PerSecond: 2}), qt.IsTrue)
	c.Assert(table.RecordAnnouncement(at(50), g, balance.Announcement{}), qt.IsFalse) // was sent before
	c.Assert(table.Restrictions(at(100)), qt.DeepEquals, []Restriction{{Incarnation: Incarnation{"e0", 1}, Announcement: balance.Announcement{Limited: true, PerSecond: 2}, Sent: 0}})
	table.MergeRestrictions(at(300), "other", []Restriction{{Incarnation: Incarnation{"e0", 1}, AgeMS: 250}})
	c.Assert(table.byID["e0"].restrictions.Limited, qt.IsTrue)
	table.MergeRestrictions(at(300), "other", []Restriction{{Incarnation: Incarnation{"e0", 2}, AgeMS: 1}}) // another process
	c.Assert(table.byID["e0"].restrictions.Limited, qt.IsTrue)
	table.MergeRestrictions(at(300), "other", []Restriction{{Incarnation: Incarnation{"e0", 1}, AgeMS: 100}})
	c.Assert(table.byID["e0"].restrictions.Limited, qt.IsFalse)
	c.Assert(table.Restrictions(at(300)), qt.HasLen, 0) // it did not say so to this router
	table.RecordAnnouncement(at(400), g, balance.Announcement{Limited: true, PerSecond: 3})
	table.Apply(at(500), []Change{put(0, func(e *Entry) { e.Started = 2 })}, false)
	c.Assert(table.byID["e0"].restrictions.Limited, qt.IsFalse)
}
