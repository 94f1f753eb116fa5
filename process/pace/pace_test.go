package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const route, service = "r", "s"

var t0 = time.Unix(1_700_000_000, 0)

// lognormal returns values with the given median.
func lognormal(r *rand.Rand, median, deviation float64) float64 {
	return median * math.Exp(deviation*r.NormFloat64())
}

// allowance is how many of plays may take longer than their bound: three in a thousand, as the distribution has to be
// learned from few.
func allowance(plays int) int { return 3 * plays / 1000 }

// Guards against a bound that is the longest of a few runs: the next one is longer than that one time in n+1.
func TestNextRunIsRarelyLongerThanTheBound(t *testing.T) {
	const plays = 2_000
	for _, deviation := range []float64{0, 0.15, 0.44} {
		for _, n := range []int{1, 3, 8, 24, 100} {
			r := rand.New(rand.NewPCG(uint64(n), uint64(100*deviation)))
			longer := 0
			for range plays {
				var table Table
				next := func() time.Duration { return time.Duration(lognormal(r, float64(time.Second), deviation)) }
				for range n {
					table.Record(t0, route, Run{Took: next(), Complete: true})
				}
				if bound, known := table.Bound(t0, route, service, Size{}); !known || next() > bound {
					longer++
				}
			}
			qt.New(t).Check(longer <= allowance(plays), qt.IsTrue, qt.Commentf("deviation %v, %d runs seen: %d longer", deviation, n, longer))
		}
	}
}

// stream returns a stream whose caller estimated its size with some deviation.
func stream(r *rand.Rand, estimated bool) Run {
	const pace, mostEvents, tokensPerEvent = 26 * time.Millisecond, 160, 7
	events := max(1, min(mostEvents, int(lognormal(r, 50, 0.44))))
	s := Run{Size: Size{Most: mostEvents * tokensPerEvent}, First: first(r), Events: events, Complete: true}
	s.Took = s.First + time.Duration(events-1)*pace
	if estimated {
		s.Size.Expected = max(1, int(lognormal(r, float64(events*tokensPerEvent), 0.6)))
	}
	return s
}

// Guards against streams that are cut, and against short ones that are refused though their callers said so.
func TestStreamsWithEstimatesAreToldApart(t *testing.T) {
	const plays, left = 2_000, 3 * time.Second
	for _, estimated := range []bool{false, true} {
		for _, n := range []int{8, 24, 200} {
			r := rand.New(rand.NewPCG(uint64(n), 1))
			longer, taken := 0, 0
			for range plays {
				var table Table
				for range n {
					table.Record(t0, route, stream(r, estimated))
				}
				next := stream(r, estimated)
				bound, known := table.Bound(t0, route, service, next.Size)
				if known && bound <= left {
					taken++
				}
				if !known || next.Took > bound {
					longer++
				}
			}
			c := qt.New(t)
			c.Check(longer <= allowance(plays), qt.IsTrue, qt.Commentf("%d of %d longer, %d runs seen", longer, plays, n))
			if estimated && n == 200 {
				c.Check(taken > plays/8, qt.IsTrue, qt.Commentf("%d of %d taken", taken, plays))
			}
			t.Logf("estimated %t, %d runs seen: %d longer than the bound, %d taken with %v left", estimated, n, longer, taken, left)
		}
	}
}

// Guards against sound requests that are refused because the bound is far above what is possible.
func TestBoundTightensWithTheRunsSeen(t *testing.T) {
	c := qt.New(t)
	for n, most := range map[int]time.Duration{1: 10 * time.Second, 8: 400 * time.Millisecond, 200: 125 * time.Millisecond} {
		var table Table
		for range n {
			table.Record(t0, route, Run{Took: 100 * time.Millisecond, Complete: true})
		}
		bound, known := table.Bound(t0, route, service, Size{})
		c.Check(known && bound < most, qt.IsTrue, qt.Commentf("%v after %d runs", bound, n))
	}
}

// add records n runs that took some time.
func add(table *Table, n int, size Size, took time.Duration, complete bool) {
	for range n {
		table.Record(t0, route, Run{Size: size, Took: took, Complete: complete})
	}
}

// Guards against a request that counts as one like those before it, though it is larger or less is known of it.
func TestBoundIsOfRequestsLikeThis(t *testing.T) {
	c := qt.New(t)
	short := Size{Most: 20}
	const took = 670 * time.Millisecond
	var table Table
	add(&table, 100, short, took, true)
	bound, known := table.Bound(t0, route, service, short)
	c.Check(known && bound > took && bound < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", bound))
	for _, large := range []Size{{Most: 200}, {Expected: 200, Most: 200}, {Expected: 10, Most: 200}, {Most: 1 << 62}} {
		bound, known := table.Bound(t0, route, service, large)
		c.Check(!known || bound > 6*time.Second, qt.IsTrue, qt.Commentf("%+v: %v", large, bound))
	}
	for _, unlike := range []Size{{}, {Expected: 20}} {
		_, known := table.Bound(t0, route, service, unlike)
		c.Check(known, qt.IsFalse, qt.Commentf("%+v", unlike))
	}
	_, known = table.Bound(t0, "another", service, short)
	c.Check(known, qt.IsFalse)
}

// Guards against long runs that a bound leaves out because most were short, were cut short, or told more of their size.
func TestLongRunsThatWereSeenAreWithinTheBound(t *testing.T) {
	const shortTime, longTime = 480 * time.Millisecond, 4480 * time.Millisecond
	for _, n := range []int{1, 2, 6} {
		for _, complete := range []bool{true, false} {
			for _, size := range []Size{{}, {Most: 1120}, {Expected: 40, Most: 1120}} {
				for _, longFirst := range []bool{true, false} {
					var table Table
					longRuns := Size{Expected: size.Expected, Most: size.Most}
					if size.Most > 0 {
						longRuns.Expected = 40 // they also count among those of which only the most is known
					}
					if longFirst {
						add(&table, n, longRuns, longTime, complete)
					}
					add(&table, 100, size, shortTime, true)
					if !longFirst {
						add(&table, n, longRuns, longTime, complete)
					}
					bound, known := table.Bound(t0, route, service, size)
					qt.New(t).Check(known && bound >= longTime, qt.IsTrue, qt.Commentf("%d of %v, complete %t, %+v: bound %v", n, longTime, complete, size, bound))
				}
			}
		}
	}
}

// Guards against the bound of short prompts for a request whose prompt takes long to process.
func TestBoundGrowsWithThePrompt(t *testing.T) {
	c := qt.New(t)
	const took, seen = 500 * time.Millisecond, 1000
	var table Table
	add(&table, 100, Size{Most: 20, Prompt: seen / 2}, took/2, true)
	add(&table, 100, Size{Most: 20, Prompt: seen}, took, true)
	add(&table, 1, Size{Most: 20, Prompt: 100 * seen}, took, false)
	bound := func(prompt int) time.Duration {
		d, known := table.Bound(t0, route, service, Size{Most: 20, Prompt: prompt})
		c.Assert(known, qt.IsTrue)
		return d
	}
	for _, prompt := range []int{0, 1, seen} {
		c.Check(bound(prompt), qt.Equals, bound(seen/2))
	}
	c.Check(bound(10*seen) >= 10*took, qt.IsTrue, qt.Commentf("%v", bound(10*seen)))
	c.Check(bound(seen+seen/10) < bound(seen)*12/10, qt.IsTrue, qt.Commentf("%v", bound(seen+seen/10)))
	c.Check(bound(1<<62), qt.Equals, maxBound)
	var promptless Table
	add(&promptless, 100, Size{Most: 20}, took, true)
	d, known := promptless.Bound(t0, route, service, Size{Most: 20, Prompt: seen})
	c.Check(known && d > time.Minute, qt.IsTrue, qt.Commentf("%v", d))
}

// Guards against a bound from the short runs that have ended, while long ones are still in progress.
func TestRunInProgressBeyondTheBoundLeavesNone(t *testing.T) {
	c := qt.New(t)
	size := Size{Expected: 40, Most: 300}
	const took, beyond = 400 * time.Millisecond, 800 * time.Millisecond
	var table Table
	add(&table, 100, size, took, true)
	for _, like := range []Size{size, {Most: size.Most}} {
		for age, want := range map[time.Duration][2]bool{took: {true, true}, beyond: {true, false}, beyond + Silence: {false, false}} {
			r := table.Begin(t0.Add(-age), route, service, size)
			_, known := table.Bound(t0, route, service, like)
			c.Check(known, qt.Equals, want[0], qt.Commentf("%+v, in progress for %v", like, age))
			r.Progress(t0, 1)
			_, known = table.Bound(t0, route, service, like)
			c.Check(known, qt.Equals, want[1], qt.Commentf("%+v, in progress for %v, with a part of the response", like, age))
			table.End(t0, r)
		}
	}
	larger := size
	larger.Prompt = 1000
	for place, like := range map[string]Size{"another": size, route: larger} { // whose times say nothing of this kind
		r := table.Begin(t0.Add(-10*beyond), place, service, like)
		_, known := table.Bound(t0, route, service, size)
		c.Check(known, qt.IsTrue)
		table.End(t0, r)
	}
}

// Guards against a bound that is not a number and counts as none.
func TestSteepTimesGiveALongBound(t *testing.T) {
	c := qt.New(t)
	var table Table
	add(&table, 500, Size{Expected: 10}, 100*time.Millisecond, true)
	add(&table, 500, Size{Expected: 11}, time.Hour, true)
	bound, known := table.Bound(t0, route, service, Size{Expected: 1 << 62})
	c.Assert(known, qt.IsTrue)
	c.Assert(bound, qt.Equals, maxBound)
}

func TestRunsAreForgotten(t *testing.T) {
	c := qt.New(t)
	second := Run{Took: time.Second, Complete: true}
	var table, fresh Table
	table.Record(t0, route, Run{Took: 3 * time.Second, Complete: true})
	table.Record(t0.Add(window), route, second)
	both, known := table.Bound(t0.Add(2*window-1), route, service, Size{})
	c.Assert(known, qt.IsTrue)
	c.Assert(both >= 3*time.Second, qt.IsTrue)
	fresh.Record(t0, route, second)
	want, _ := fresh.Bound(t0, route, service, Size{})
	later, _ := table.Bound(t0.Add(2*window), route, service, Size{})
	c.Assert(later, qt.Equals, want)
	_, known = table.Bound(t0.Add(4*window), route, service, Size{})
	c.Assert(known, qt.IsFalse)
}
