package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeMembers is a Membership with a fixed number of routers bound to the owner.
type fakeMembers struct {
	self           member.Member
	counted, known int
}

func (f *fakeMembers) Bindings(time.Time) *member.Bindings {
	b := &member.Bindings{Self: f.self, Known: f.known}
	if f.counted > 0 {
		view := member.NewView([]member.Member{f.self})
		b.Counts = []member.BindingCount{{View: view, Count: f.counted}}
	}
	return b
}

type fixture struct {
	c        *qt.C
	now      time.Time
	members  *fakeMembers
	check    *invariant.Checker
	owner    *Owner
	lastCall uint64
}

// newFixture returns a fixture with the endpoints "e" and "other" of model "m",
// with capacity 8 and cold capacity 2, unless endpoints are given.
func newFixture(t *testing.T, endpoints ...config.Endpoint) *fixture {
	f := &fixture{c: qt.New(t), now: testNow, check: invariant.New(logr.Discard())}
	f.members = &fakeMembers{self: member.Member{Name: "a", Incarnation: 1, Region: "r"}, counted: 7, known: 7}
	f.owner = NewOwner(DefaultConfig(), f.members, f.check, rand.New(rand.NewPCG(1, 1)))
	if len(endpoints) == 0 {
		endpoints = []config.Endpoint{
			{Name: "e", Model: "m", Capacity: 8, ColdCapacity: 2, WarmAfter: 12},
			{Name: "other", Model: "m", Capacity: 8, ColdCapacity: 2, WarmAfter: 12},
		}
	}
	f.setConfig(config.State{Config: config.Config{
		Endpoints: endpoints,
		Kinds:     []config.Kind{{Name: "k", Model: "m", Worth: 1, Deadline: config.Duration(time.Minute)}},
		Limits:    config.Limits{MeanMultiple: 1.25},
	}})
	return f
}

func (f *fixture) setConfig(state config.State) {
	f.owner.SetSnapshot(config.NewSnapshot(state))
}

// request requests a permit at endpoint e.
func (f *fixture) request(e string, wait time.Duration) []Decision {
	f.lastCall++
	return f.owner.Request(f.now, Request{
		From: "a", CallID: f.lastCall, Endpoint: e, Workspace: "w", Kind: "k",
		Sent: f.now, Deadline: f.now.Add(time.Minute), Wait: wait,
	})
}

// fill requests permits until one is refused and returns those granted.
func (f *fixture) fill(e string) []Decision {
	var granted []Decision
	for range 1000 {
		for _, d := range f.request(e, 0) {
			if !d.Granted {
				return granted
			}
			granted = append(granted, d)
		}
	}
	f.c.Fatal("more than 1,000 permits granted")
	return nil
}

func (f *fixture) load(e string, r protocol.LoadReport) []Decision {
	return f.owner.HandleLoadReport(f.now, e, &r, f.now)
}

// own makes the owner track e and applies a load report that shows all earlier work.
func (f *fixture) own(e string, r protocol.LoadReport) {
	f.owner.EndpointsToPoll(f.now)
	f.now = f.now.Add(DefaultConfig().SettleTime)
	f.load(e, r)
}

func (f *fixture) release(d Decision, completed bool) []Decision {
	return f.owner.Release(f.now, "a", Release{Endpoint: d.Endpoint, Permit: d.Permit,
		Result: Result{Dispatched: true, Completed: completed}})
}

func TestNewOwnerGrantsOnlyAfterLaterReport(t *testing.T) {
	f := newFixture(t)
	f.owner.SetGroupMean(f.now, "m", 100)
	f.c.Assert(f.fill("e"), qt.HasLen, 0)
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.c.Assert(f.fill("e"), qt.HasLen, 0) // the report is too early
	f.now = f.now.Add(DefaultConfig().SettleTime)
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 100, Running: 3, Queued: 1})
	f.c.Assert(f.fill("e"), qt.HasLen, 4) // four running requests were admitted by others
	f.c.Assert(f.check.Total(), qt.Equals, int64(0))
}

func TestCapFollowsTheMean(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
		mean float64
		want int
	}{{0, 1}, {0.5, 1}, {0.9, 2}, {1, 2}, {1.6, 2}, {1.7, 3}, {4, 5}, {100, 8}} {
		f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
		f.owner.SetGroupMean(f.now, "m", test.mean)
		granted := f.fill("e")
		f.c.Check(granted, qt.HasLen, test.want, qt.Commentf("mean %v", test.mean))
		for _, d := range granted {
			f.release(d, true)
		}
	}
}

func TestMeanCapDoesNotApplyToSingleEndpoint(t *testing.T) {
	f := newFixture(t, config.Endpoint{Name: "e", Model: "m", Capacity: 8, ColdCapacity: 2, WarmAfter: 12})
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.owner.SetGroupMean(f.now, "m", 0)
	f.c.Check(f.fill("e"), qt.HasLen, 8)
	f.c.Check(f.check.Total(), qt.Equals, int64(0))
}

func TestSharesOfCompetingOwnersNeverExceedCap(t *testing.T) {
	c := qt.New(t)
	for known := 1; known <= 12; known++ {
		for capacity := 0; capacity <= 20; capacity++ {
			for a := 0; a <= known; a++ {
				for b := 0; a+b <= known; b++ {
					rest := known - a - b
					sum := share(capacity, a, known) + share(capacity, b, known) + share(capacity, rest, known)
					c.Assert(sum <= capacity, qt.IsTrue, qt.Commentf("%d of %d+%d+%d", capacity, a, b, rest))
				}
			}
		}
	}
}

func TestMinorityOwnerGrantsItsShareRoundedDown(t *testing.T) {
	f := newFixture(t)
	f.members.counted = 3
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.owner.SetGroupMean(f.now, "m", 100)
	f.c.Assert(f.fill("e"), qt.HasLen, 3) // floor(8 * 3/7)
	f.members.counted = 7
	f.now = f.now.Add(time.Millisecond)
	f.c.Assert(f.fill("e"), qt.HasLen, 0) // the larger fraction is used only after a later report
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100, Running: 5})
	f.c.Assert(f.fill("e"), qt.HasLen, 3) // two of the five requests are foreign
}

func TestExpiredLeasesCountAsForeignWork(t *testing.T) {
	f := newFixture(t)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.owner.SetGroupMean(f.now, "m", 100)
	granted := f.fill("e")
	f.c.Assert(granted, qt.HasLen, 8)
	f.now = f.now.Add(2 * time.Second)
	f.c.Assert(f.owner.Renew(f.now, "a", "e", []uint64{granted[0].Permit, granted[1].Permit}), qt.HasLen, 0)
	f.now = f.now.Add(2 * time.Second)
	f.owner.Advance(f.now)
	f.owner.SetGroupMean(f.now, "m", 100)
	status := f.owner.Status(f.now)[0]
	f.c.Assert([2]int{status.Permits, status.Foreign}, qt.Equals, [2]int{2, 6})
	f.c.Assert(f.fill("e"), qt.HasLen, 0) // the requests of expired permits may still run
	f.c.Assert(f.owner.Renew(f.now, "a", "e", []uint64{granted[2].Permit}), qt.HasLen, 1)
	f.now = f.now.Add(time.Second)
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 104, Running: 4})
	f.c.Assert(f.fill("e"), qt.HasLen, 4)
}

func TestNoGrantsForOutOfServiceAndDrainingEndpoints(t *testing.T) {
	f := newFixture(t)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.owner.SetGroupMean(f.now, "m", 0.5)
	f.c.Assert(f.request("e", 0)[0].Granted, qt.IsTrue)
	f.c.Assert(f.request("e", time.Minute), qt.HasLen, 0) // queued
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 100, Draining: true})
	decisions := f.owner.Advance(f.now)
	f.c.Assert(decisions, qt.HasLen, 1)
	f.c.Assert(decisions[0].Code, qt.Equals, outcome.EndpointOut)
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	state := f.owner.snap.State
	state.OutOfService = []config.OutOfService{{Target: config.Target{Scope: config.ScopeEndpoint, Name: "e"}}}
	f.setConfig(state)
	f.c.Assert(f.request("e", 0)[0].Code, qt.Equals, outcome.EndpointOut)
}

func TestInvariantsDetectWrongLimit(t *testing.T) {
	f := newFixture(t)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 0})
	e := f.owner.endpoints["e"]
	w := waitingRequest{request: Request{From: "a", Endpoint: "e"}, since: f.now}
	wrong := limit{permits: 100, endpointCap: 100, coldCap: 100}
	f.owner.SetGroupMean(f.now, "m", 1.6) // cap 2, cold cap 2
	for range 2 {
		f.c.Assert(f.owner.grant(f.now, e, wrong, &w).Granted, qt.IsTrue)
	}
	f.c.Assert(f.check.Total(), qt.Equals, int64(0))
	d := f.owner.grant(f.now, e, wrong, &w)
	f.c.Assert(d.Code, qt.Equals, outcome.InternalInvariant)
	f.c.Assert(f.check.Count(invariant.PermitsWithinCap), qt.Equals, int64(1))
	f.c.Assert(f.check.Count(invariant.PermitsWithinColdCap), qt.Equals, int64(1))
}

func TestColdCapRisesWithCompletedWorkAndResets(t *testing.T) {
	f := newFixture(t)
	f.owner.SetGroupMean(f.now, "m", 100)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 0})
	held := f.fill("e")
	f.c.Assert(held, qt.HasLen, 2)
	for done := 1; done <= 14; done++ {
		f.release(held[0], true)
		held = append(held[1:], f.fill("e")...)
		f.c.Check(len(held), qt.Equals, 2+6*min(done, 12)/12, qt.Commentf("done %d", done))
	}
	f.now = f.now.Add(time.Second)
	f.owner.SetGroupMean(f.now, "m", 100)
	f.load("e", protocol.LoadReport{Incarnation: 2})
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
	f.load("e", protocol.LoadReport{Incarnation: 2, Completed: 6})
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 5)
	f.load("e", protocol.LoadReport{Incarnation: 2, Completed: 1}) // counters reset
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
}

func TestLostReportsAndSlowFirstTokensRestartColdStart(t *testing.T) {
	f := newFixture(t)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.now = f.now.Add(DefaultConfig().ReportStale + time.Second)
	f.owner.Advance(f.now)
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
	f.now = f.now.Add(time.Second)
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 8)
	for i := range minSamples + outliersToCold {
		token := 100 * time.Millisecond
		if i >= minSamples {
			token = time.Second
		}
		d := f.request("e", 0)[0]
		f.c.Assert(d.Granted, qt.IsTrue)
		f.owner.Release(f.now, "a", Release{Endpoint: "e", Permit: d.Permit,
			Result: Result{Completed: true, FirstToken: token}})
	}
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
}

func TestAloneRequestIsTheOnlyOneAtItsEndpoint(t *testing.T) {
	f := newFixture(t)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.owner.SetGroupMean(f.now, "m", 100)
	first := f.request("e", 0)[0]
	f.c.Assert(first.Granted, qt.IsTrue)
	alone := Request{From: "a", CallID: 99, Endpoint: "e", Workspace: "w", Kind: "k", Sent: f.now,
		Deadline: f.now.Add(time.Minute), Wait: time.Minute, Alone: true}
	f.c.Assert(f.owner.Request(f.now, alone), qt.HasLen, 0)
	f.c.Assert(f.request("e", time.Minute), qt.HasLen, 0)
	granted := f.release(first, true)
	f.c.Assert(granted, qt.HasLen, 1)
	f.c.Assert(granted[0].CallID, qt.Equals, uint64(99))
	granted = f.release(granted[0], true)
	f.c.Assert(granted, qt.HasLen, 1)
	f.c.Assert(granted[0].CallID, qt.Equals, uint64(2))
}

func TestMeanCountsUsableEndpointsAndDropsStaleLoads(t *testing.T) {
	endpoints := []config.Endpoint{{Name: "e", Model: "m", Capacity: 8}, {Name: "f", Model: "m", Capacity: 8}}
	f := newFixture(t, endpoints...)
	means := NewGroupMeans(DefaultConfig())
	means.SetSnapshot(f.owner.snap)
	f.own("e", protocol.LoadReport{Incarnation: 1})
	f.own("f", protocol.LoadReport{Incarnation: 1})
	f.fill("e")
	f.fill("f")
	for _, load := range f.owner.GroupLoads(f.now) {
		means.SetLoad(f.now, "a", load)
	}
	out := means.Advance(f.now)
	f.c.Assert(out, qt.HasLen, 1)
	permits := 0
	for _, s := range f.owner.Status(f.now) {
		permits += s.Permits
	}
	f.c.Assert(fmt.Sprint(out[0].To), qt.Equals, "[a]")
	f.c.Assert(out[0].Mean.Mean, qt.Equals, float32(permits)/2)
	f.now = f.now.Add(DefaultConfig().MeanStale + time.Second)
	f.c.Assert(means.Advance(f.now), qt.HasLen, 0)
}

func TestHolderDispatchRenewalAndRelease(t *testing.T) {
	f := newFixture(t)
	snap := f.owner.snap
	h := NewHolder()
	grant := Decision{Endpoint: "e", Permit: 7, Granted: true, DispatchWindow: 250 * time.Millisecond, Lease: 3 * time.Second, Waited: time.Second}
	held := h.AddGrant(testNow, "b", &grant)
	at := func(d time.Duration) time.Time { return testNow.Add(d) }
	f.c.Assert(h.MayDispatch(at(1200*time.Millisecond), held, snap), qt.Equals, outcome.OK)
	f.c.Assert(h.MayDispatch(at(1250*time.Millisecond), held, snap), qt.Equals, outcome.EndpointAtCap)
	state := snap.State
	state.OutOfService = []config.OutOfService{{Target: config.Target{Scope: config.ScopeEndpoint, Name: "e"}}}
	f.c.Assert(h.MayDispatch(at(1200*time.Millisecond), held, config.NewSnapshot(state)), qt.Equals, outcome.EndpointOut)
	owner := "b"
	ownerOf := func(string) (string, bool) { return owner, true }
	f.c.Assert(h.Renewals(at(1300*time.Millisecond), ownerOf), qt.HasLen, 0) // not due
	f.c.Assert(h.Renewals(at(9100*time.Millisecond), ownerOf), qt.HasLen, 0) // the first call after a pause
	h.lastRenewalsAt = at(2 * time.Second)                                   // as if there had been no pause
	renewals := h.Renewals(at(2100*time.Millisecond), ownerOf)
	f.c.Assert(renewals, qt.HasLen, 1)
	f.c.Assert(renewals[0].Renewals[0].Permits, qt.DeepEquals, []uint64{7})
	owner = "c"
	renewals = h.Renewals(at(2200*time.Millisecond), ownerOf)
	f.c.Assert(renewals[0].Owner, qt.Equals, "c")
	f.c.Assert(renewals[0].Renewals[0].AdoptAgeMs, qt.DeepEquals, []uint32{1200})
	releases := h.Release(held, Result{Completed: true})
	f.c.Assert(releases, qt.HasLen, 2)
	f.c.Assert(releases[0].Release.Dispatched, qt.IsTrue)
	f.c.Assert(h.Release(held, Result{}), qt.HasLen, 0)
}

func TestBrokenConnectionOrFailedPollIsColdUntilLaterReport(t *testing.T) {
	f := newFixture(t)
	f.owner.SetGroupMean(f.now, "m", 100)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	d := f.request("e", 0)[0]
	f.now = f.now.Add(100 * time.Millisecond)
	f.owner.Release(f.now, "a", Release{Endpoint: "e", Permit: d.Permit, Result: Result{Dispatched: true, Failed: true}})
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
	early := f.now.Add(-10 * time.Millisecond)
	f.owner.HandleLoadReport(f.now, "e", &protocol.LoadReport{Incarnation: 1, Completed: 100}, early)
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
	f.now = f.now.Add(100 * time.Millisecond)
	f.load("e", protocol.LoadReport{Incarnation: 1, Completed: 100})
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 8)
	f.owner.HandleLoadFailure(f.now, "e")
	f.c.Assert(f.owner.Status(f.now)[0].ColdCap, qt.Equals, 2)
}

func TestAdoptedPermitsReplaceForeignWork(t *testing.T) {
	f := newFixture(t)
	f.owner.SetGroupMean(f.now, "m", 100)
	f.own("e", protocol.LoadReport{Incarnation: 1, Completed: 100, Running: 6})
	f.c.Assert(f.owner.Status(f.now)[0].Limit, qt.Equals, 2)
	f.owner.Adopt(f.now, "b", "e", []uint64{1, 2, 3}, []time.Duration{time.Minute, time.Minute, 0})
	status := f.owner.Status(f.now)[0]
	f.c.Assert([3]int{status.Permits, status.Foreign, status.Limit}, qt.Equals, [3]int{3, 4, 4})
	f.owner.Release(f.now, "b", Release{Endpoint: "e", Permit: 1, Result: Result{Completed: true}})
	f.c.Assert(f.owner.Status(f.now)[0].Permits, qt.Equals, 2)
}

func BenchmarkRequestAndRelease(b *testing.B) {
	members := make([]member.Member, 330)
	for i := range members {
		members[i] = member.Member{Name: fmt.Sprint("host-", i), Incarnation: uint64(i + 1), Region: "r"}
	}
	view := member.NewView(members)
	var endpoints []config.Endpoint
	for i := range 640 {
		endpoints = append(endpoints, config.Endpoint{Name: fmt.Sprint("endpoint-", i), Model: "m", Capacity: 4})
	}
	owner, _ := view.Owner(member.DutyAdmission, "endpoint-7")
	bindings := &member.Bindings{Self: owner, Known: 330, Counts: []member.BindingCount{{View: view, Count: 330}}}
	o := NewOwner(DefaultConfig(), fixedMembers{bindings}, invariant.New(logr.Discard()), rand.New(rand.NewPCG(1, 1)))
	o.SetSnapshot(config.NewSnapshot(config.State{Config: config.Config{
		Endpoints: endpoints,
		Kinds:     []config.Kind{{Name: "k", Model: "m", Worth: 1, Deadline: config.Duration(time.Minute)}},
		Limits:    config.Limits{MeanMultiple: 1.25},
	}}))
	o.EndpointsToPoll(testNow)
	now := testNow.Add(time.Second)
	o.SetGroupMean(now, "m", 3)
	o.HandleLoadReport(now, "endpoint-7", &protocol.LoadReport{Incarnation: 1, Completed: 9}, now)
	r := Request{From: "a", Endpoint: "endpoint-7", Workspace: "w", Kind: "k", Sent: now, Deadline: now.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		d := o.Request(now, r)
		if !d[0].Granted {
			b.Fatal(d)
		}
		o.Release(now, "a", Release{Endpoint: "endpoint-7", Permit: d[0].Permit})
	}
}

// fixedMembers is a Membership with bindings that never change.
type fixedMembers struct{ bindings *member.Bindings }

func (f fixedMembers) Bindings(time.Time) *member.Bindings { return f.bindings }
