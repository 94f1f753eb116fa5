package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// crowd returns a table of two endpoints with four slots whose requests take a
// second, and the want of a request of the given rank.
func crowd() (*Table, func(rank int) balance.Request) {
	rng := rand.New(rand.NewPCG(7, 8))
	table := New(config(), rng.Float64)
	table.SetPeers("self", nil, 0, nil, 250*time.Millisecond)
	for i := range 2 {
		table.Apply(t0, []Change{put(i, func(e *Entry) { e.Slots = 4 })}, false)
	}
	want := func(rank int) balance.Request {
		return balance.Request{Service: "s", Class: "c", Objective: 500 * time.Millisecond, UrgencyRank: rank}
	}
	for range 10 {
		g, _ := table.Acquire(t0, want(0))
		table.Release(t0.Add(time.Second), g, balance.NoFailure, 10*time.Millisecond)
	}
	return table, want
}

// Endpoints are filled as far as a request is still in time there; then callers
// are refused at once and told to come back one after the other. A request that
// was admitted keeps its place when it has to go elsewhere.
func TestFullEndpointsRefuse(t *testing.T) {
	c := qt.New(t)
	table, want := crowd()
	now := t0.Add(time.Minute)
	var refusal *balance.Refusal
	taken := 0
	for ; refusal == nil && taken < 100; taken++ {
		_, refusal = table.Acquire(now, want(0))
	}
	c.Assert(taken > 6 && taken < 12, qt.IsTrue, qt.Commentf("%d taken", taken))
	c.Assert(refusal.Code, qt.Equals, outcome.EndpointAtCap)
	c.Assert(refusal.RetryAfter >= leastRetry, qt.IsTrue)
	c.Assert(refusal.Limit > 5.1 && refusal.Limit < 5.3, qt.IsTrue) // 4 slots and a queue of 0.6 x 0.5 s
	last := refusal.RetryAfter
	for range 5 {
		_, again := table.Acquire(now, want(0))
		c.Assert(again, qt.Not(qt.IsNil))
		c.Assert(again.RetryAfter > last*8/10, qt.IsTrue)
		last = again.RetryAfter
	}
	repeat := want(0)
	repeat.Exclude = []string{"e0"}
	_, refusal = table.Acquire(now, repeat)
	c.Assert(refusal, qt.IsNil)
}

// play sends a request each 50 ms for 100 s, for 8 slots of a second, and returns
// how many were sent and taken, by the name that next gave them.
func play(table *Table, next func(n int) (name string, w balance.Request)) (asked, taken map[string]int) {
	type ending struct {
		at time.Time
		g  *balance.Grant
	}
	var running []ending
	asked, taken = make(map[string]int), make(map[string]int)
	now := t0.Add(time.Minute)
	for n := range 2000 {
		now = now.Add(50 * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(now) {
			table.Release(running[0].at, running[0].g, balance.NoFailure, 10*time.Millisecond)
			running = running[1:]
		}
		name, w := next(n)
		asked[name]++
		if g, _ := table.Acquire(now, w); g != nil {
			taken[name]++
			running = append(running, ending{now.Add(time.Second), g})
		}
	}
	return asked, taken
}

// Under more load than the endpoints bear, the urgent find room first.
func TestUrgentRequestsFindRoom(t *testing.T) {
	c := qt.New(t)
	table, want := crowd()
	asked, taken := play(table, func(n int) (string, balance.Request) {
		if n%5 == 0 {
			return "urgent", want(0)
		}
		return "other", want(1)
	})
	c.Logf("taken %v of %v", taken, asked)
	c.Assert(float64(taken["urgent"]) > 0.9*float64(asked["urgent"]), qt.IsTrue)
	c.Assert(float64(taken["urgent"]+taken["other"]) > 0.75*100*8, qt.IsTrue) // slots are not left idle
}

// Under more load than the endpoints bear, a workspace that sends many times
// what the others do does not take their room.
func TestLargeWorkspaceLeavesRoom(t *testing.T) {
	c := qt.New(t)
	table, want := crowd()
	small := []string{"a", "b", "c"}
	asked, taken := play(table, func(n int) (string, balance.Request) {
		w := want(0)
		w.Workspace = "large"
		if n%20 < len(small) {
			w.Workspace = small[n%20]
		}
		return w.Workspace, w
	})
	c.Logf("taken %v of %v", taken, asked)
	for _, name := range small {
		c.Assert(float64(taken[name]) > 0.8*float64(asked[name]), qt.IsTrue)
	}
}
