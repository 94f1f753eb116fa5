package loadshed

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Unix(1_700_000_000, 0)

func TestLimit(t *testing.T) {
	c := qt.New(t)
	c.Assert(Limit(time.Second, 0, time.Second), qt.Equals, 0.0)
	c.Assert(Limit(time.Second, 64, 0), qt.Equals, 0.0)
	c.Assert(Limit(0, 64, time.Second), qt.Equals, 64.0)
	// Twice the objective allows twice the queue; longer work a shorter one.
	short, long := Limit(100*time.Millisecond, 10, 20*time.Millisecond), Limit(200*time.Millisecond, 10, 20*time.Millisecond)
	c.Assert(long-10, qt.Equals, 2*(short-10))
	c.Assert(Limit(100*time.Millisecond, 10, time.Second) < short, qt.IsTrue)
}

func TestBand(t *testing.T) {
	c := qt.New(t)
	c.Assert(PriorityBand(0, 0, 0), qt.Equals, 0)
	c.Assert(PriorityBand(time.Hour, 1000, 0), qt.Equals, bands-1)
	c.Assert(PriorityBand(time.Second, 0, 0) < PriorityBand(time.Second, 1, 0), qt.IsTrue)
	c.Assert(PriorityBand(100*time.Millisecond, 2, 0) < PriorityBand(3*time.Second, 1, 0), qt.IsTrue) // little work goes before urgency
	c.Assert(PriorityBand(4*time.Second, 0, 0) < PriorityBand(3*time.Second, 1, 0), qt.IsTrue)
}

// Slots go to the bands in their order, and old demand is forgotten.
func TestShare(t *testing.T) {
	c := qt.New(t)
	var d Demand
	c.Assert(d.AdmitRatio(t0, 10, 8), qt.Equals, 1.0)
	for i := range 1000 { // in steady state 4 slots of band 10 and 8 of band 20
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		d.Add(now, 10, 40*time.Millisecond)
		d.Add(now, 20, 80*time.Millisecond)
	}
	now := t0.Add(10 * time.Second)
	c.Assert(d.AdmitRatio(now, 10, 8), qt.Equals, 1.0)
	share := d.AdmitRatio(now, 20, 8) // (8 - 4) / 8
	c.Assert(share > 0.45 && share < 0.55, qt.IsTrue, qt.Commentf("%v", share))
	c.Assert(d.AdmitRatio(now, 20, 2), qt.Equals, 0.0)
	c.Assert(d.AdmitRatio(now.Add(10*time.Second), 20, 2), qt.Equals, 1.0)
}

// A workspace that asks for more than an equal part of the slots is set behind
// the others, but no further than by a rank.
func TestWorkspaceOverItsPart(t *testing.T) {
	c := qt.New(t)
	var s WorkspaceDemand
	for i := range 1000 { // in steady state 1, 1 and 6 slots
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		s.Add(now, "a", 10*time.Millisecond)
		s.Add(now, "b", 10*time.Millisecond)
		s.Add(now, "large", 60*time.Millisecond)
	}
	c.Assert(s.Penalty("a", 4), qt.Equals, 0)
	c.Assert(s.Penalty("large", 4) > 0, qt.IsTrue)
	c.Assert(s.Penalty("large", 0.01), qt.Equals, rankBands)
	c.Assert(s.Penalty("large", 30), qt.Equals, 0) // there is room for all
	c.Assert(s.Penalty("none", 4), qt.Equals, 0)
	c.Assert(PriorityBand(time.Second, 0, s.Penalty("large", 4)) <= PriorityBand(time.Second, 1, 0), qt.IsTrue)
	s.Add(t0.Add(time.Hour), "a", time.Millisecond)
	c.Assert(s.slots, qt.HasLen, 1) // the others fell silent
}

// The load that the deviation answers for: one of 59 routers before a single
// endpoint of six slots, three quarters busy by all of them. Its own requests
// are few, and hardly any gives way.
func TestFewRequestsGiveNoWayByChance(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const work, routers, perSecond = 15 * time.Millisecond, 59, 300.0
	var d Demand
	asked, gaveWay := 0, 0.0
	band := PriorityBand(work, 0, 0)
	for now := t0; now.Before(t0.Add(200 * time.Second)); {
		now = now.Add(time.Duration(rng.ExpFloat64() * routers / perSecond * float64(time.Second)))
		d.Add(now, band, work)
		asked++
		gaveWay += 1 - d.AdmitRatio(now, band, TargetSlots(6.0/routers, work, false))
	}
	c.Logf("%.1f of %d gave way", gaveWay, asked)
	c.Assert(gaveWay < 0.02*float64(asked), qt.IsTrue)
}

// Refused callers come back one after the other, no sooner than there is room.
func TestBacklog(t *testing.T) {
	c := qt.New(t)
	var b RetrySchedule
	last := time.Duration(0)
	for range 50 {
		after := b.Next(t0, 600*time.Millisecond, 20*time.Millisecond, 0)
		c.Assert(after > last, qt.IsTrue)
		last = after
	}
	c.Assert(last, qt.Equals, 600*time.Millisecond+49*20*time.Millisecond)
	for range 1000 {
		last = b.Next(t0, 600*time.Millisecond, 20*time.Millisecond, 0)
	}
	c.Assert(last <= longestBacklog+20*time.Millisecond, qt.IsTrue)
	c.Assert(b.Next(t0.Add(time.Minute), time.Second, time.Millisecond, 0), qt.Equals, time.Second)
}

func TestWork(t *testing.T) {
	c := qt.New(t)
	var w ServiceTimes
	for range fewestSamples {
		c.Assert(w.Mean(), qt.Equals, time.Duration(0))
		w.Add("long", 10*time.Millisecond, time.Second)
	}
	c.Assert(w.ClassMean("long"), qt.Equals, time.Second)
	c.Assert(w.ClassMean("none"), qt.Equals, time.Duration(0))
	for i := range 2 * mostClasses { // bounded, whatever the configuration holds
		w.Add(string(rune(i)), 0, time.Second)
	}
	c.Assert(len(w.classes) <= mostClasses, qt.IsTrue)
	var q ServiceTimes
	for range 100 { // a queue is no work
		q.Add("short", 10*time.Millisecond, 20*time.Millisecond)
		q.Add("short", 500*time.Millisecond, 510*time.Millisecond)
	}
	c.Assert(q.ClassMean("short") < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", q.ClassMean("short")))
}

// The load that admission answers for: for ten seconds three times as many
// requests come as the engines complete, most of them long ones of little
// worth. Each way is played on the same arrivals; callers come back once.
func TestAdmissionUnderOverload(t *testing.T) {
	c := qt.New(t)
	all := playOverload(ways{})
	bounded := playOverload(ways{limit: true})
	ordered := playOverload(ways{limit: true, order: true})
	t.Logf("worth earned of all: every request taken %.2f, bounded queue %.2f, in the order of bands %.2f", all.worth, bounded.worth, ordered.worth)
	t.Logf("urgent requests in time: %.2f, %.2f, %.2f", all.urgent, bounded.urgent, ordered.urgent)
	t.Logf("short requests in time: %.2f, %.2f, %.2f", all.short, bounded.short, ordered.short)
	c.Assert(bounded.worth > 1.1*all.worth, qt.IsTrue)
	c.Assert(ordered.worth > 1.2*bounded.worth, qt.IsTrue)
	c.Assert(ordered.urgent > 0.8, qt.IsTrue)
	c.Assert(ordered.short > 0.8, qt.IsTrue)
	c.Assert(ordered.refusedIdle, qt.Equals, 0)
}

// A load that the engines can bear is not refused.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	got := playOverload(ways{limit: true, order: true, scale: 0.25})
	qt.Assert(t, got.refused, qt.Equals, 0)
}

type ways struct {
	limit, order bool
	scale        float64 // of the arrivals; 0 is 1
}

type overload struct {
	worth       float64 // earned, of the worth of all requests
	urgent      float64 // part of the most urgent that was in time
	short       float64 // part of the short ones that was in time
	refused     int
	refusedIdle int // refused while an engine had under half of its slots taken
}

type class struct {
	name      string
	rank      int
	tokens    float64
	worth     float64
	perSecond float64
	objective time.Duration
}

var classes = []class{
	{"episode", 0, 385, 9, 20, 600 * time.Millisecond},
	{"line", 1, 286, 0.84, 90, 800 * time.Millisecond},
	{"tag", 2, 22, 0.39, 60, 1200 * time.Millisecond},
}

type call struct {
	class   *class
	arrived time.Time // first try
	sent    time.Time
	left    float64 // tokens to go
	first   time.Time
	again   bool
}

const (
	engineSlots = 32
	tick        = 10 * time.Millisecond
	timeLimit   = 8 * time.Second
	stepBase    = 2.2  // ms a step of an idle engine takes
	stepSlot    = 0.12 // ms more for each running request
)

type engineModel struct{ running, waiting []*call }

func (e *engineModel) load() float64 { return float64(len(e.running) + len(e.waiting)) }

// step runs the engine for a tick and returns the requests that ended.
func (e *engineModel) step(now time.Time) (ended []*call) {
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	made := float64(tick/time.Millisecond) / (stepBase + stepSlot*float64(len(e.running)))
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first.IsZero() {
			r.first = now
		}
		r.left -= made
		if r.left <= 0 || now.Sub(r.arrived) > timeLimit {
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	return ended
}

func playOverload(w ways) overload {
	rng := rand.New(rand.NewPCG(5, 6))
	scale := w.scale
	if scale == 0 {
		scale = 1
	}
	engines := make([]*engineModel, 3)
	for i := range engines {
		engines[i] = &engineModel{}
	}
	var work ServiceTimes
	var demand Demand
	var backlog RetrySchedule
	var out overload
	var owed, earned float64
	var asked, inTime [3]int
	returning := make(map[int][]*call)
	offer := func(now time.Time, n int, r *call) {
		least := engines[0]
		for _, e := range engines {
			if e.load() < least.load() {
				least = e
			}
		}
		mean := work.Mean()
		own := work.ClassMean(r.class.name)
		if own == 0 {
			own = mean
		}
		band := PriorityBand(own, r.class.rank, 0)
		demand.Add(now, band, own)
		limit := Limit(MaxWait(r.class.objective, true), engineSlots, mean)
		full := w.limit && limit > 0 && least.load()+1 > limit
		busy := w.order && mean > 0 && least.load() >= BusyFraction*engineSlots
		if !full && (!busy || rng.Float64() < demand.AdmitRatio(now, band, TargetSlots(3*engineSlots, mean, true))) {
			r.sent = now
			least.waiting = append(least.waiting, r)
			return
		}
		out.refused++
		if least.load() < engineSlots/2 {
			out.refusedIdle++
		}
		after := backlog.Next(now, 600*time.Millisecond, mean/(3*engineSlots), rng.Float64())
		if !r.again && after < timeLimit/3 {
			r.again = true
			at := n + int(after/tick)
			returning[at] = append(returning[at], r)
		}
	}
	const ticks = 2200
	for n := range ticks {
		now := t0.Add(time.Duration(n) * tick)
		for _, r := range returning[n] {
			offer(now, n, r)
		}
		for i := range classes {
			cl := &classes[i]
			rate := cl.perSecond / 8 // before and after
			if n >= 200 && n < 1200 {
				rate = cl.perSecond * scale
			}
			for due := rate*tick.Seconds() + rng.Float64(); due >= 1; due-- {
				asked[cl.rank]++
				owed += cl.worth
				offer(now, n, &call{class: cl, arrived: now, left: cl.tokens})
			}
		}
		for _, e := range engines {
			for _, r := range e.step(now) {
				work.Add(r.class.name, r.first.Sub(r.sent), now.Sub(r.sent))
				switch {
				case r.left > 0:
				case r.first.Sub(r.arrived) <= r.class.objective:
					earned += r.class.worth
					inTime[r.class.rank]++
				default:
					earned += r.class.worth / 2
				}
			}
		}
	}
	out.worth = earned / owed
	out.urgent = float64(inTime[0]) / float64(asked[0])
	out.short = float64(inTime[2]) / float64(asked[2])
	return out
}
