package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// tableWithServiceTime returns a table of two endpoints with four slots whose
// requests take a second, and a function that returns a request of the given rank.
func tableWithServiceTime() (*Table, func(rank int) balance.Request) {
	rng := rand.New(rand.NewPCG(7, 8))
	table := New(config(), rng.Float64)
	table.SetPeers("self", nil, 0, nil, 250*time.Millisecond)
	for i := range 2 {
		table.Apply(t0, []Change{put(i, func(e *Entry) { e.Slots = 4 })}, false)
	}
	request := func(rank int) balance.Request {
		return balance.Request{Service: "s", Class: "c", Objective: 500 * time.Millisecond, PriorityRank: rank}
	}
	for range 10 {
		g, _ := table.Acquire(t0, request(0))
		table.Release(t0.Add(time.Second), g, balance.NoFailure, 10*time.Millisecond)
	}
	return table, request
}

// Endpoints are filled as far as a request can still meet its objective; further
// callers are refused at once with staggered retry times. A request that was
// admitted is not refused when it is retried at another endpoint.
func TestEndpointsAtCapacityRefuse(t *testing.T) {
	c := qt.New(t)
	table, request := tableWithServiceTime()
	now := t0.Add(time.Minute)
	var refusal *balance.Refusal
	admitted := 0
	for ; refusal == nil && admitted < 100; admitted++ {
		_, refusal = table.Acquire(now, request(0))
	}
	c.Assert(admitted > 6 && admitted < 12, qt.IsTrue, qt.Commentf("%d admitted", admitted))
	c.Assert(refusal.Code, qt.Equals, outcome.EndpointAtCap)
	c.Assert(refusal.RetryAfter >= minRetryAfter, qt.IsTrue)
	c.Assert(refusal.Limit > 5.1 && refusal.Limit < 5.3, qt.IsTrue) // 4 slots and a queue of 0.6 x 0.5 s
	last := refusal.RetryAfter
	for range 5 {
		_, again := table.Acquire(now, request(0))
		c.Assert(again, qt.Not(qt.IsNil))
		c.Assert(again.RetryAfter > last*8/10, qt.IsTrue)
		last = again.RetryAfter
	}
	retry := request(0)
	retry.Exclude = []string{"e0"}
	_, refusal = table.Acquire(now, retry)
	c.Assert(refusal, qt.IsNil)
}

// simulate sends a request of one second every 50 ms during 100 s, to 8 slots in all,
// and returns the numbers of requests sent and admitted, by the name from next.
func simulate(table *Table, next func(n int) (name string, req balance.Request)) (asked, admitted map[string]int) {
	type ending struct {
		at time.Time
		g  *balance.Grant
	}
	var running []ending
	asked, admitted = make(map[string]int), make(map[string]int)
	now := t0.Add(time.Minute)
	for n := range 2000 {
		now = now.Add(50 * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(now) {
			table.Release(running[0].at, running[0].g, balance.NoFailure, 10*time.Millisecond)
			running = running[1:]
		}
		name, req := next(n)
		asked[name]++
		if g, _ := table.Acquire(now, req); g != nil {
			admitted[name]++
			running = append(running, ending{now.Add(time.Second), g})
		}
	}
	return asked, admitted
}

// Above the endpoints' capacity, urgent requests are admitted first.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	c := qt.New(t)
	table, request := tableWithServiceTime()
	asked, admitted := simulate(table, func(n int) (string, balance.Request) {
		if n%5 == 0 {
			return "urgent", request(0)
		}
		return "other", request(1)
	})
	c.Logf("admitted %v of %v", admitted, asked)
	c.Assert(float64(admitted["urgent"]) > 0.9*float64(asked["urgent"]), qt.IsTrue)
	c.Assert(float64(admitted["urgent"]+admitted["other"]) > 0.75*100*8, qt.IsTrue) // slots are not left idle
}

// Above the endpoints' capacity, a workspace that sends many times more than the
// others does not use up their share.
func TestLargeWorkspaceDoesNotStarveOthers(t *testing.T) {
	c := qt.New(t)
	table, request := tableWithServiceTime()
	small := []string{"a", "b", "c"}
	asked, admitted := simulate(table, func(n int) (string, balance.Request) {
		req := request(0)
		req.Workspace = "large"
		if n%20 < len(small) {
			req.Workspace = small[n%20]
		}
		return req.Workspace, req
	})
	c.Logf("admitted %v of %v", admitted, asked)
	for _, name := range small {
		c.Assert(float64(admitted[name]) > 0.8*float64(asked[name]), qt.IsTrue)
	}
}
