package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/suspect"
)

var playSeeds = flag.Uint64("plays", 2, "plays of each kind, with seeds from 0")

const (
	simStep      = 10 * time.Millisecond
	simHeartbeat = 250 * time.Millisecond
	simContact   = 3 * time.Second
	crashDelay   = 80 * time.Millisecond // from the start of a run to its crash
	beginDelay   = 70 * time.Millisecond // until a sound response begins
	guilty       = uint64(0xbad)
	guiltyToo    = uint64(0xbad2)
)

// play describes a run of a fleet in simulated time.
type play struct {
	routers, endpoints int
	downTime           time.Duration
	guiltyRate         float64 // requests a second with a part that crashes endpoints
	soundRate          float64 // of each of the two kinds of sound requests
	warmUp             time.Duration
	length             time.Duration // after the warm-up
	guiltyParts        func(rng *rand.Rand) []uint64
	loseAt             func(at time.Duration, endpoint int) bool // faults of the platform, after the warm-up
	heartbeatLoss      float64
	partitioned        int // routers that hear nobody and are heard by nobody
}

// simRun is a request that runs at an endpoint.
type simRun struct {
	router, endpoint int
	parts            []uint64
	sentAt, endsAt   time.Time
	atFault          bool
}

// begunAt returns when the response of a run began, if it had begun.
func (r *simRun) begunAt(now time.Time) time.Time {
	if begun := r.sentAt.Add(beginDelay); !r.atFault && begun.Before(now) {
		return begun
	}
	return time.Time{}
}

// outcomes counts what callers and endpoints saw.
type outcomes struct {
	crashes, late     int // late: by routers in touch
	sound, refused    int // sound requests from twice the contact time after the fifth crash on, or the last one
	refusedAtAnyTime  int
	soundAtAnyTime    int
	lost              int      // runs that were lost with an endpoint
	quarantinedAtFine []uint64 // parts that were quarantined though they crash nothing
}

// soundParts returns the shared parts of a sound request: of 8 system prompts and 74 subjects, or of 3 and 26.
func soundParts(rng *rand.Rand, long bool) []uint64 {
	if long {
		subject := rng.IntN(26)
		return []uint64{uint64(0x200 + subject%3), uint64(0x3000 + subject)}
	}
	subject := rng.IntN(74)
	return []uint64{uint64(0x100 + subject%8), uint64(0x1000 + subject)}
}

func (p play) run(seed uint64) outcomes {
	rng := rand.New(rand.NewPCG(seed, 7))
	var o outcomes
	harmful := func(part uint64) bool { return part == guilty || part == guiltyToo }
	var tables []*Table
	for i := range p.routers {
		tables = append(tables, New(func(c Change) {
			if c.Part != 0 && !c.Suspected && c.Quarantined() && !harmful(c.Part) {
				o.quarantinedAtFine = append(o.quarantinedAtFine, c.Part)
			}
		}, func(suspect.Fingerprint) bool { return i <= p.partitioned }))
	}
	downUntil := make([]time.Time, p.endpoints)
	var runs []*simRun
	var crashTimes []time.Time
	start := t0.Add(p.warmUp)
	arrive := func(now time.Time, parts []uint64, length time.Duration) {
		r := rng.IntN(p.routers)
		atFault := slices.ContainsFunc(parts, harmful)
		judged := len(crashTimes) > 0 && now.Sub(crashTimes[min(len(crashTimes), 5)-1]) > 2*simContact
		if !atFault && now.After(start) {
			o.soundAtAnyTime++
			if judged {
				o.sound++
			}
		}
		if _, wait := tables[r].CheckParts(now, parts); wait > 0 {
			if !atFault && now.After(start) {
				o.refusedAtAnyTime++
				if judged {
					o.refused++
				}
			}
			return
		}
		var up []int
		for e, until := range downUntil {
			if !now.Before(until) {
				up = append(up, e)
			}
		}
		if len(up) == 0 {
			return
		}
		run := &simRun{router: r, endpoint: up[rng.IntN(len(up))], parts: parts, sentAt: now, endsAt: now.Add(length), atFault: atFault}
		if atFault {
			run.endsAt = now.Add(crashDelay)
			if len(crashTimes) >= 5 && now.Sub(crashTimes[4]) > simContact && r >= p.partitioned {
				o.late++
			}
		}
		runs = append(runs, run)
	}
	crash := func(now time.Time, endpoint int) {
		if now.Before(downUntil[endpoint]) {
			return
		}
		downUntil[endpoint] = now.Add(p.downTime)
		runs = slices.DeleteFunc(runs, func(r *simRun) bool {
			if r.endpoint == endpoint {
				o.lost++
				tables[r.router].PartsLost(now, Run{Endpoint: fmt.Sprint("e", endpoint), SentAt: r.sentAt, BegunAt: r.begunAt(now), Parts: r.parts})
			}
			return r.endpoint == endpoint
		})
	}
	for now := t0; now.Before(start.Add(p.length)); now = now.Add(simStep) {
		draw := func(rate float64) bool { return rng.Float64() < rate*simStep.Seconds() }
		if draw(p.soundRate) {
			arrive(now, soundParts(rng, false), time.Duration(100+rng.IntN(400))*time.Millisecond)
		}
		if draw(p.soundRate) {
			arrive(now, soundParts(rng, true), time.Duration(1000+rng.IntN(3000))*time.Millisecond)
		}
		if now.After(start) && draw(p.guiltyRate) {
			arrive(now, p.guiltyParts(rng), 0)
		}
		for e := range p.endpoints {
			if p.loseAt != nil && !now.Before(start) && p.loseAt(now.Sub(start), e) {
				crash(now, e)
			}
		}
		for _, r := range slices.Clone(runs) {
			if r.atFault && !now.Before(r.endsAt) && !now.Before(downUntil[r.endpoint]) {
				crashTimes = append(crashTimes, now)
				crash(now, r.endpoint)
			}
		}
		runs = slices.DeleteFunc(runs, func(r *simRun) bool {
			if !now.Before(r.endsAt) {
				tables[r.router].PartsCompleted(now, r.parts)
			}
			return !now.Before(r.endsAt)
		})
		for i, from := range tables {
			if now.Sub(t0)%simHeartbeat != time.Duration(i)*simStep || i < p.partitioned {
				continue
			}
			evidence, reports := from.Evidence(now), from.Reports(now)
			for k, to := range tables {
				if k != i && k >= p.partitioned && rng.Float64() >= p.heartbeatLoss {
					to.MergeEvidence(now, Source{Router: fmt.Sprint(i)}, evidence)
					to.Merge(now, reports)
				}
			}
		}
	}
	o.crashes = len(crashTimes)
	return o
}

// base is a play without trouble, after 10 s of traffic.
func base() play {
	return play{routers: 7, endpoints: 12, downTime: 2 * time.Second, soundRate: 20, warmUp: 10 * time.Second, length: 15 * time.Second,
		guiltyParts: func(rng *rand.Rand) []uint64 { return []uint64{soundParts(rng, false)[0], guilty} }}
}

func TestPartThatCrashesEndpointsIsFound(t *testing.T) {
	for _, v := range []struct {
		name   string
		change func(p *play)
	}{
		{"5 a second", func(p *play) { p.guiltyRate = 5 }},
		{"50 a second", func(p *play) { p.guiltyRate = 50 }},
		{"1 in two seconds", func(p *play) { p.guiltyRate, p.length = 0.5, 60*time.Second }},
		{"few endpoints", func(p *play) { p.guiltyRate, p.endpoints = 10, 3 }},
		{"one endpoint, soon back", func(p *play) { p.guiltyRate, p.endpoints, p.downTime = 10, 1, 50*time.Millisecond }},
		{"many routers", func(p *play) { p.guiltyRate, p.routers, p.endpoints = 50, 14, 40 }},
		{"one router", func(p *play) { p.guiltyRate, p.routers = 10, 1 }},
		{"lost heartbeats", func(p *play) { p.guiltyRate, p.heartbeatLoss = 20, 0.3 }},
		{"two routers partitioned", func(p *play) { p.guiltyRate, p.partitioned = 20, 2 }},
		{"no traffic before", func(p *play) { p.guiltyRate, p.warmUp = 10, 0 }},
		{"it is the first part", func(p *play) {
			p.guiltyRate = 10
			p.guiltyParts = func(rng *rand.Rand) []uint64 { return []uint64{guilty, soundParts(rng, false)[1]} }
		}},
		{"always with the same other parts", func(p *play) {
			p.guiltyRate = 10
			p.guiltyParts = func(*rand.Rand) []uint64 { return []uint64{0x101, guilty, 0x1001} }
		}},
		{"always with a new part, no traffic before", func(p *play) {
			p.guiltyRate, p.warmUp = 10, 0
			p.guiltyParts = func(*rand.Rand) []uint64 { return []uint64{0x777, guilty} }
		}},
		{"two parts at once", func(p *play) {
			p.guiltyRate = 20
			p.guiltyParts = func(rng *rand.Rand) []uint64 {
				return []uint64{soundParts(rng, false)[0], []uint64{guilty, guiltyToo}[rng.IntN(2)]}
			}
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			crashes, refused, sound := 0, 0, 0
			for seed := range *playSeeds {
				p := base()
				v.change(&p)
				o := p.run(seed)
				bound := 3
				if v.name == "two parts at once" {
					bound = 6
				}
				c.Assert(o.late <= bound, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, o))
				c.Assert(o.crashes > 0 && o.sound > 0 && o.refused*10 <= o.sound, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, o))
				crashes, refused, sound = max(crashes, o.crashes), refused+o.refused, sound+o.sound
			}
			t.Logf("at most %d crashes; %d of %d sound requests refused", crashes, refused, sound)
		})
	}
}

func TestLossesOfManyEndpointsBlameNoPart(t *testing.T) {
	for _, v := range []struct {
		name   string
		loseAt func(at time.Duration, e int) bool
	}{
		{"a zone, twice", func(at time.Duration, e int) bool { return (at == 2*time.Second || at == 6*time.Second) && e < 4 }},
		{"a zone, one by one", func(at time.Duration, e int) bool {
			return at == 2*time.Second+time.Duration(e)*50*time.Millisecond && e < 4
		}},
		{"all at once", func(at time.Duration, _ int) bool { return at == 2*time.Second }},
		{"all, again on their return", func(at time.Duration, _ int) bool {
			return at >= 2*time.Second && at < 8*time.Second && at%(2500*time.Millisecond) == 0
		}},
		{"all, one by one", func(at time.Duration, e int) bool { return at == 2*time.Second+time.Duration(e)*60*time.Millisecond }},
	} {
		for _, warmUp := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, after %v", v.name, warmUp), func(t *testing.T) {
				c := qt.New(t)
				refused, sound := 0, 0
				for seed := range *playSeeds {
					p := base()
					p.loseAt, p.warmUp = v.loseAt, warmUp
					o := p.run(seed)
					c.Check(o.lost > 0, qt.IsTrue, qt.Commentf("seed %d: nothing was lost", seed))
					c.Check(o.quarantinedAtFine, qt.HasLen, 0, qt.Commentf("seed %d: %+v", seed, o))
					refused, sound = refused+o.refusedAtAnyTime, sound+o.soundAtAnyTime
				}
				t.Logf("%d of %d sound requests refused", refused, sound)
				c.Assert(refused*100 <= sound, qt.IsTrue)
			})
		}
	}
}

// Endpoints crash all the time, and runs rarely complete. Operators are alerted when more
// than a tenth of the requests is not served.
func TestUnrelatedCrashesRefuseFewRequests(t *testing.T) {
	for _, warmUp := range []time.Duration{0, 10 * time.Second} {
		c := qt.New(t)
		refused, sound := 0, 0
		for seed := range *playSeeds {
			p := base()
			p.warmUp = warmUp
			p.loseAt = func(at time.Duration, e int) bool {
				return at%(300*time.Millisecond) == 0 && int(at/(300*time.Millisecond))%p.endpoints == e
			}
			o := p.run(seed)
			refused, sound = refused+o.refusedAtAnyTime, sound+o.soundAtAnyTime
		}
		t.Logf("after %v: %d of %d sound requests refused", warmUp, refused, sound)
		c.Assert(refused*10 <= sound, qt.IsTrue)
	}
}

// A part that crashed endpoints is sound again: one run in a while finds that out, and all
// routers hear of it.
func TestPartThatCompletesIsFreeEverywhere(t *testing.T) {
	c := qt.New(t)
	tables := []*Table{newTable(), newTable()}
	exchange := func(now time.Time) {
		for i, from := range tables {
			tables[1-i].MergeEvidence(now, Source{Router: fmt.Sprint(i)}, from.Evidence(now))
			tables[1-i].Merge(now, from.Reports(now))
		}
	}
	parts, now := []uint64{0x1, guilty}, t0
	tables[0].PartsCompleted(now, []uint64{0x1, 0x2})
	for n := range 8 {
		now = now.Add(500 * time.Millisecond)
		if _, wait := tables[n%2].CheckParts(now, parts); wait == 0 {
			tables[n%2].PartsLost(now.Add(crashDelay), Run{Endpoint: fmt.Sprint("e", n), SentAt: now, Parts: parts})
		}
		exchange(now.Add(crashDelay))
	}
	for _, table := range tables {
		part, wait := table.CheckParts(now, parts)
		c.Assert(part, qt.Equals, guilty)
		c.Assert(wait > suspectedWait, qt.IsTrue, qt.Commentf("not quarantined: %v", wait))
		_, wait = table.CheckParts(now, []uint64{0x1, 0x2})
		c.Assert(wait, qt.Equals, time.Duration(0))
	}
	now = now.Add(firstTrial)
	_, wait := tables[0].CheckParts(now, parts)
	c.Assert(wait, qt.Equals, time.Duration(0), qt.Commentf("no trial"))
	_, wait = tables[0].CheckParts(now, parts)
	c.Assert(wait > 0, qt.IsTrue, qt.Commentf("a second trial beside the first"))
	tables[0].PartsCompleted(now.Add(time.Second), parts)
	exchange(now.Add(time.Second))
	for _, table := range tables {
		_, wait := table.CheckParts(now.Add(time.Second), parts)
		c.Assert(wait, qt.Equals, time.Duration(0))
	}
}

func TestFloodOfNewPartsKeepsQuarantinedOne(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	parts, now := []uint64{0x1, guilty}, t0
	table.PartsCompleted(now, []uint64{0x1, 0x2})
	for n := range 8 {
		now = now.Add(500 * time.Millisecond)
		if _, wait := table.CheckParts(now, parts); wait == 0 {
			table.PartsLost(now.Add(crashDelay), Run{Endpoint: fmt.Sprint("e", n), SentAt: now, Parts: parts})
		}
	}
	for n := range uint64(4 * maxCompletedParts) {
		table.PartsCompleted(now, []uint64{0x1_0000 + n})
	}
	for n := range uint64(3 * maxLosses) {
		table.PartsLost(now, Run{Endpoint: "e", SentAt: now, Parts: []uint64{0x9_0000 + n}})
	}
	c.Assert(len(table.evidence.losses) <= maxLosses, qt.IsTrue)
	c.Assert(table.evidence.completed.Len() <= maxCompletedParts, qt.IsTrue)
	evidence := table.Evidence(now)
	c.Assert(len(evidence.Losses) <= maxReportedLosses && len(evidence.Completed) <= maxReportedParts, qt.IsTrue)
	part, _ := table.CheckParts(now, parts)
	c.Assert(part, qt.Equals, guilty)
}
