package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placing"
)

// crowd returns a table of two endpoints with four slots whose requests take a
// second, and the want of a request of the given rank.
func crowd() (*Table, func(rank int) placing.Want) {
	rng := rand.New(rand.NewPCG(7, 8))
	table := New(config(), rng.Float64)
	table.SetPeers("self", nil, 0, nil, 250*time.Millisecond)
	for i := range 2 {
		table.Apply(t0, []Change{put(i, func(e *Entry) { e.Slots = 4 })}, false)
	}
	want := func(rank int) placing.Want {
		return placing.Want{Service: "s", Class: "c", Objective: 500 * time.Millisecond, Rank: rank}
	}
	for range 10 {
		g, _ := table.Acquire(t0, want(0))
		table.Release(t0.Add(time.Second), g, placing.NoFailure, 10*time.Millisecond)
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
	var refusal *placing.Refusal
	taken := 0
	for ; refusal == nil && taken < 100; taken++ {
		_, refusal = table.Acquire(now, want(0))
	}
	c.Assert(taken > 6 && taken < 12, qt.IsTrue, qt.Commentf("%d taken", taken))
	c.Assert(refusal.Code, qt.Equals, outcome.EndpointAtCap)
	c.Assert(refusal.After >= leastRetry, qt.IsTrue)
	c.Assert(refusal.Limit > 4 && refusal.Limit < 5, qt.IsTrue)
	last := refusal.After
	for range 5 {
		_, again := table.Acquire(now, want(0))
		c.Assert(again, qt.Not(qt.IsNil))
		c.Assert(again.After > last*8/10, qt.IsTrue)
		last = again.After
	}
	repeat := want(0)
	repeat.Exclude = []string{"e0"}
	_, refusal = table.Acquire(now, repeat)
	c.Assert(refusal, qt.IsNil)
}

// Under more load than the endpoints bear, the urgent find room first.
func TestUrgentRequestsFindRoom(t *testing.T) {
	c := qt.New(t)
	table, want := crowd()
	type ending struct {
		at time.Time
		g  *placing.Grant
	}
	var running []ending
	asked, taken := [2]int{}, [2]int{}
	now := t0.Add(time.Minute)
	for n := range 2000 { // 4 urgent requests a second and 16 others, for 8 slots
		now = now.Add(50 * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(now) {
			table.Release(running[0].at, running[0].g, placing.NoFailure, 10*time.Millisecond)
			running = running[1:]
		}
		rank := 1
		if n%5 == 0 {
			rank = 0
		}
		asked[rank]++
		if g, _ := table.Acquire(now, want(rank)); g != nil {
			taken[rank]++
			running = append(running, ending{now.Add(time.Second), g})
		}
	}
	c.Logf("taken %v of %v", taken, asked)
	c.Assert(float64(taken[0]) > 0.9*float64(asked[0]), qt.IsTrue)
	c.Assert(float64(taken[0]+taken[1]) > 0.75*100*8, qt.IsTrue) // slots are not left idle
}
