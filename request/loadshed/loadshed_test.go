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
	// Twice the objective allows twice the queue; longer service times a shorter one.
	short, long := Limit(100*time.Millisecond, 10, 20*time.Millisecond), Limit(200*time.Millisecond, 10, 20*time.Millisecond)
	c.Assert(long-10, qt.Equals, 2*(short-10))
	c.Assert(Limit(100*time.Millisecond, 10, time.Second) < short, qt.IsTrue)
}

func TestPriorityBand(t *testing.T) {
	c := qt.New(t)
	c.Assert(PriorityBand(0, 0, 0), qt.Equals, 0)
	c.Assert(PriorityBand(time.Hour, 1000, 0), qt.Equals, bands-1)
	c.Assert(PriorityBand(time.Second, 0, 0) < PriorityBand(time.Second, 1, 0), qt.IsTrue)
	// Much less work counts more than a more urgent rank.
	c.Assert(PriorityBand(100*time.Millisecond, 2, 0) < PriorityBand(3*time.Second, 1, 0), qt.IsTrue)
	c.Assert(PriorityBand(4*time.Second, 0, 0) < PriorityBand(3*time.Second, 1, 0), qt.IsTrue)
}

// Slots are assigned to the bands in order, and old demand decays.
func TestAdmitRatio(t *testing.T) {
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
	ratio := d.AdmitRatio(now, 20, 8) // (8 - 4) / 8
	c.Assert(ratio > 0.45 && ratio < 0.55, qt.IsTrue, qt.Commentf("%v", ratio))
	c.Assert(d.AdmitRatio(now, 20, 2), qt.Equals, 0.0)
	c.Assert(d.AdmitRatio(now.Add(10*time.Second), 20, 2), qt.Equals, 1.0)
}

// The requests of a workspace that demands more than an equal share of the slots
// are set back, but by no more than one urgency rank.
func TestWorkspaceOverFairShareIsSetBack(t *testing.T) {
	c := qt.New(t)
	var d WorkspaceDemand
	for i := range 1000 { // in steady state 1, 1 and 6 slots
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		d.Add(now, "a", 10*time.Millisecond)
		d.Add(now, "b", 10*time.Millisecond)
		d.Add(now, "large", 60*time.Millisecond)
	}
	c.Assert(d.Penalty("a", 4), qt.Equals, 0)
	c.Assert(d.Penalty("large", 4) > 0, qt.IsTrue)
	c.Assert(d.Penalty("large", 0.01), qt.Equals, rankBands)
	c.Assert(d.Penalty("large", 30), qt.Equals, 0) // there are slots for all
	c.Assert(d.Penalty("none", 4), qt.Equals, 0)
	c.Assert(PriorityBand(time.Second, 0, d.Penalty("large", 4)) <= PriorityBand(time.Second, 1, 0), qt.IsTrue)
	d.Add(t0.Add(time.Hour), "a", time.Millisecond)
	c.Assert(d.slots, qt.HasLen, 1) // the others have become inactive
}

// Guards against shedding on random variation: one of 59 routers sends few
// requests to a single endpoint of six slots that all routers together keep three
// quarters busy. Hardly any of its requests may be shed.
func TestFewRequestsAreRarelyShedByChance(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const work, routers, perSecond = 15 * time.Millisecond, 59, 300.0
	var d Demand
	requests, shed := 0, 0.0
	band := PriorityBand(work, 0, 0)
	for now := t0; now.Before(t0.Add(200 * time.Second)); {
		now = now.Add(time.Duration(rng.ExpFloat64() * routers / perSecond * float64(time.Second)))
		d.Add(now, band, work)
		requests++
		shed += 1 - d.AdmitRatio(now, band, TargetSlots(6.0/routers, work, false))
	}
	c.Logf("%.1f of %d requests shed", shed, requests)
	c.Assert(shed < 0.02*float64(requests), qt.IsTrue)
}

// Retry times of refused callers are staggered and not before capacity is free.
func TestRetrySchedule(t *testing.T) {
	c := qt.New(t)
	var schedule RetrySchedule
	last := time.Duration(0)
	for range 50 {
		after := schedule.Next(t0, 600*time.Millisecond, 20*time.Millisecond, 0)
		c.Assert(after > last, qt.IsTrue)
		last = after
	}
	c.Assert(last, qt.Equals, 600*time.Millisecond+49*20*time.Millisecond)
	for range 1000 {
		last = schedule.Next(t0, 600*time.Millisecond, 20*time.Millisecond, 0)
	}
	c.Assert(last <= maxRetryAfter+20*time.Millisecond, qt.IsTrue)
	c.Assert(schedule.Next(t0.Add(time.Minute), time.Second, time.Millisecond, 0), qt.Equals, time.Second)
}

func TestServiceTimes(t *testing.T) {
	c := qt.New(t)
	var times ServiceTimes
	for range minSamples {
		c.Assert(times.Mean(), qt.Equals, time.Duration(0))
		times.Add("long", 10*time.Millisecond, time.Second)
	}
	c.Assert(times.ClassMean("long"), qt.Equals, time.Second)
	c.Assert(times.ClassMean("none"), qt.Equals, time.Duration(0))
	for i := range 2 * maxClasses { // bounded for any configuration
		times.Add(string(rune(i)), 0, time.Second)
	}
	c.Assert(len(times.classes) <= maxClasses, qt.IsTrue)
	var queued ServiceTimes
	for range 100 { // time in the queue is not service time
		queued.Add("short", 10*time.Millisecond, 20*time.Millisecond)
		queued.Add("short", 500*time.Millisecond, 510*time.Millisecond)
	}
	c.Assert(queued.ClassMean("short") < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", queued.ClassMean("short")))
}

// Overload: for ten seconds three times as many requests arrive as the engines
// complete, most of them long ones of little worth. Each policy is simulated on
// the same arrivals; refused callers retry once.
func TestAdmissionUnderOverload(t *testing.T) {
	c := qt.New(t)
	all := simulateOverload(policy{})
	bounded := simulateOverload(policy{limit: true})
	ordered := simulateOverload(policy{limit: true, order: true})
	t.Logf("fraction of worth earned: all admitted %.2f, bounded queue %.2f, ordered by band %.2f", all.worth, bounded.worth, ordered.worth)
	t.Logf("fraction of urgent requests in time: %.2f, %.2f, %.2f", all.urgent, bounded.urgent, ordered.urgent)
	t.Logf("fraction of short requests in time: %.2f, %.2f, %.2f", all.short, bounded.short, ordered.short)
	c.Assert(bounded.worth > 1.1*all.worth, qt.IsTrue)
	c.Assert(ordered.worth > 1.2*bounded.worth, qt.IsTrue)
	c.Assert(ordered.urgent > 0.8, qt.IsTrue)
	c.Assert(ordered.short > 0.8, qt.IsTrue)
	c.Assert(ordered.refusedWhileIdle, qt.Equals, 0)
}

// A load within the capacity of the engines is not refused.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	got := simulateOverload(policy{limit: true, order: true, scale: 0.25})
	qt.Assert(t, got.refused, qt.Equals, 0)
}

type policy struct {
	limit, order bool
	scale        float64 // multiplies the arrival rate; 0 counts as 1
}

type result struct {
	worth            float64 // earned, as a fraction of the worth of all requests
	urgent           float64 // fraction of the most urgent requests that were in time
	short            float64 // fraction of the short requests that were in time
	refused          int
	refusedWhileIdle int // refused while some engine had less than half of its slots in use
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
	arrived time.Time // first attempt
	sent    time.Time
	left    float64 // tokens to generate
	first   time.Time
	retried bool
}

const (
	engineSlots = 32
	tick        = 10 * time.Millisecond
	timeLimit   = 8 * time.Second
	stepBase    = 2.2  // ms that a step of an idle engine takes
	stepSlot    = 0.12 // additional ms for each running request
)

type engineModel struct{ running, waiting []*call }

func (e *engineModel) load() float64 { return float64(len(e.running) + len(e.waiting)) }

// advance simulates a tick and returns the requests that finished or timed out.
func (e *engineModel) advance(now time.Time) (ended []*call) {
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	generated := float64(tick/time.Millisecond) / (stepBase + stepSlot*float64(len(e.running)))
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first.IsZero() {
			r.first = now
		}
		r.left -= generated
		if r.left <= 0 || now.Sub(r.arrived) > timeLimit {
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	return ended
}

func simulateOverload(p policy) result {
	rng := rand.New(rand.NewPCG(5, 6))
	scale := p.scale
	if scale == 0 {
		scale = 1
	}
	engines := make([]*engineModel, 3)
	for i := range engines {
		engines[i] = &engineModel{}
	}
	var times ServiceTimes
	var demand Demand
	var schedule RetrySchedule
	var out result
	var offered, earned float64
	var requests, inTime [3]int
	returning := make(map[int][]*call)
	offer := func(now time.Time, n int, r *call) {
		least := engines[0]
		for _, e := range engines {
			if e.load() < least.load() {
				least = e
			}
		}
		mean := times.Mean()
		own := times.ClassMean(r.class.name)
		if own == 0 {
			own = mean
		}
		band := PriorityBand(own, r.class.rank, 0)
		demand.Add(now, band, own)
		limit := Limit(MaxWait(r.class.objective, true), engineSlots, mean)
		full := p.limit && limit > 0 && least.load()+1 > limit
		busy := p.order && mean > 0 && least.load() >= BusyFraction*engineSlots
		if !full && (!busy || rng.Float64() < demand.AdmitRatio(now, band, TargetSlots(3*engineSlots, mean, true))) {
			r.sent = now
			least.waiting = append(least.waiting, r)
			return
		}
		out.refused++
		if least.load() < engineSlots/2 {
			out.refusedWhileIdle++
		}
		after := schedule.Next(now, 600*time.Millisecond, mean/(3*engineSlots), rng.Float64())
		if !r.retried && after < timeLimit/3 {
			r.retried = true
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
			rate := cl.perSecond / 8 // outside the overload
			if n >= 200 && n < 1200 {
				rate = cl.perSecond * scale
			}
			for due := rate*tick.Seconds() + rng.Float64(); due >= 1; due-- {
				requests[cl.rank]++
				offered += cl.worth
				offer(now, n, &call{class: cl, arrived: now, left: cl.tokens})
			}
		}
		for _, e := range engines {
			for _, r := range e.advance(now) {
				times.Add(r.class.name, r.first.Sub(r.sent), now.Sub(r.sent))
				switch {
				case r.left > 0:
				case r.first.Sub(r.arrived) <= r.class.objective:
					earned += r.class.worth
					inTime[r.class.rank]++
				default:
					earned += r.class.worth / 2 // late
				}
			}
		}
	}
	out.worth = earned / offered
	out.urgent = float64(inTime[0]) / float64(requests[0])
	out.short = float64(inTime[2]) / float64(requests[2])
	return out
}
