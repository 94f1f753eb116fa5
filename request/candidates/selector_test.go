package candidates

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func testState(endpoints int) config.State {
	var state config.State
	state.Config.Models = []config.Model{{Name: "adapt", PrefillPerSecond: 5000}}
	state.Config.Kinds = []config.Kind{{
		Name: "live", Model: "adapt", Worth: 10,
		FullUntil: config.Duration(5 * time.Second), Deadline: config.Duration(20 * time.Second),
	}}
	for i := range endpoints {
		state.Config.Endpoints = append(state.Config.Endpoints, config.Endpoint{
			Name:    fmt.Sprintf("adapt-%d", i),
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Model:   "adapt", Capacity: 8,
		})
	}
	return state
}

func testInput(state *config.State, chat placetoken.Chat) *Input {
	return &Input{
		Chat: chat, Kind: &state.Config.Kinds[0],
		Deadline: 20 * time.Second, Prompt: 5000, TimeAfterPrefill: time.Second,
	}
}

func TestRoutersWithoutStateAgree(t *testing.T) {
	c := qt.New(t)
	state := testState(9)
	a := New(config.NewSnapshot(state), NewHints())
	b := New(config.NewSnapshot(state), NewHints())
	counts := make(map[string]int)
	for chat := range placetoken.Chat(900) {
		pa := a.Select(testNow, testInput(&state, chat+1))
		pb := b.Select(testNow.Add(time.Hour), testInput(&state, chat+1))
		first := pa.Candidates()[0].Endpoint.Name
		c.Assert(pb.Candidates()[0].Endpoint.Name, qt.Equals, first)
		c.Assert(a.DefaultEndpoint("adapt", chat+1), qt.Equals, first)
		counts[first]++
	}
	for name, n := range counts {
		c.Check(n > 60 && n < 140, qt.IsTrue, qt.Commentf("%s has %d of 900 chats", name, n))
	}
}

func TestWaitsForCacheHolderOnlyWhileCheaper(t *testing.T) {
	c := qt.New(t)
	state := testState(9)
	hints := NewHints()
	selector := New(config.NewSnapshot(state), hints)
	in := testInput(&state, 1)
	in.CacheLocations = []CacheLocation{{Endpoint: "adapt-4", Incarnation: 3, Tokens: 4900, Reason: ReasonToken}}
	hints.RecordHold("adapt-4", 2*time.Second)

	hints.SetLoad(testNow, "adapt-4", Load{Permits: 8, Cap: 8, Incarnation: 3})
	plan := selector.Select(testNow, in)
	c.Check(plan.Candidates()[0].Endpoint.Name, qt.Equals, "adapt-4")
	c.Check(plan.Candidates()[0].Reason, qt.Equals, ReasonToken)

	hints.SetLoad(testNow, "adapt-4", Load{Permits: 8, Cap: 8, Queue: 40, Incarnation: 3})
	plan = selector.Select(testNow, in)
	c.Check(plan.Candidates()[0].Endpoint.Name, qt.Not(qt.Equals), "adapt-4")

	hints.SetLoad(testNow, "adapt-4", Load{Permits: 1, Cap: 8, Incarnation: 4})
	plan = selector.Select(testNow, in)
	for _, candidate := range plan.Candidates() {
		c.Check(candidate.Cached, qt.Equals, 0, qt.Commentf("the cache is lost in the restart"))
	}
}

func TestCacheIsMovedWhenHolderIsFull(t *testing.T) {
	c := qt.New(t)
	state := testState(9)
	state.Config.Models[0].MovePerSecond = 100_000
	hints := NewHints()
	selector := New(config.NewSnapshot(state), hints)
	in := testInput(&state, 1)
	in.CacheLocations = []CacheLocation{{Endpoint: "adapt-4", Tokens: 4900, Reason: ReasonDirectory}}
	hints.SetLoad(testNow, "adapt-4", Load{Permits: 8, Cap: 8, Queue: 40})
	plan := selector.Select(testNow, in)
	c.Check(plan.Candidates()[0].MoveFrom, qt.Equals, "adapt-4")
}

func TestNoCandidateIsUnusable(t *testing.T) {
	c := qt.New(t)
	state := testState(9)
	state.OutOfService = []config.OutOfService{{Target: config.Target{Scope: config.ScopeZone, Name: "zone-0"}}}
	hints := NewHints()
	hints.SetDraining("adapt-1", true)
	hints.Block("adapt-2", testNow.Add(time.Second))
	selector := New(config.NewSnapshot(state), hints)
	unusable := map[string]bool{"adapt-0": true, "adapt-3": true, "adapt-6": true, "adapt-1": true, "adapt-2": true}
	for chat := range placetoken.Chat(200) {
		in := testInput(&state, chat+1)
		in.CacheLocations = []CacheLocation{{Endpoint: "adapt-0", Tokens: 5000}, {Endpoint: "adapt-1", Tokens: 5000}, {Endpoint: "adapt-2", Tokens: 5000}}
		plan := selector.Select(testNow, in)
		c.Assert(len(plan.Candidates()) > 0, qt.IsTrue)
		for _, candidate := range plan.Candidates() {
			c.Assert(unusable[candidate.Endpoint.Name], qt.IsFalse)
		}
	}
	hints.Block("adapt-2", time.Time{})
	for i := range 9 {
		hints.SetDraining(fmt.Sprintf("adapt-%d", i), true)
	}
	plan := selector.Select(testNow, testInput(&state, 1))
	c.Check(plan.Code, qt.Equals, outcome.NoEndpoint)
	hints.Block("adapt-5", testNow.Add(time.Second))
	plan = selector.Select(testNow, testInput(&state, 1))
	c.Check(plan.Code, qt.Equals, outcome.BreakerOpen)
}

func TestRefusesRequestPastDeadline(t *testing.T) {
	c := qt.New(t)
	state := testState(3)
	in := testInput(&state, 1)
	in.Age = 19 * time.Second
	selector := New(config.NewSnapshot(state), NewHints())
	plan := selector.Select(testNow, in)
	c.Check(plan.Code, qt.Equals, outcome.DeadlineTooShort)
	c.Check(plan.Candidates(), qt.HasLen, 0)
}

func TestMovesMostLikelyReturningChatsFirst(t *testing.T) {
	c := qt.New(t)
	state := testState(4)
	state.Config.Models[0].MovePerSecond = 1000
	selector := New(config.NewSnapshot(state), NewHints())
	held := []CachedChat{
		{Chat: 1, Tokens: 400, Idle: time.Hour},
		{Chat: 2, Tokens: 400, Idle: time.Minute},
		{Chat: 3, Tokens: 900, Idle: time.Minute},
	}
	moves := selector.Moves(testNow, &state.Config.Endpoints[1], held, 1300)
	c.Assert(moves, qt.HasLen, 2)
	c.Check(moves[0].Chat, qt.Equals, placetoken.Chat(3))
	c.Check(moves[1].Chat, qt.Equals, placetoken.Chat(2))
	c.Check(moves[0].To, qt.Not(qt.Equals), "adapt-1")
}

func BenchmarkSelectAmong640Endpoints(b *testing.B) {
	state := testState(640)
	hints := NewHints()
	selector := New(config.NewSnapshot(state), hints)
	for i := range 640 {
		hints.SetLoad(testNow, fmt.Sprintf("adapt-%d", i), Load{Permits: i % 9, Cap: 8})
	}
	known := []CacheLocation{{Endpoint: "adapt-4", Tokens: 4900, Reason: ReasonToken}, {Endpoint: "adapt-400", Tokens: 4800, Reason: ReasonDirectory}}
	in := testInput(&state, 1)
	in.CacheLocations = known
	b.ReportAllocs()
	for b.Loop() {
		in.Chat++
		plan := selector.Select(testNow, in)
		if plan.n == 0 {
			b.Fatal("no candidate")
		}
	}
}
