package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/member"
)

// newStableFleet returns n routers that agree on the view and count all bindings.
func newStableFleet(c *qt.C, n int) *sim.Fleet {
	f := sim.New(n, member.DefaultConfig(), 1)
	waitForAgreement(c, f, 20*time.Second)
	f.Run(10 * time.Second)
	return f
}

func countBindings(b *member.Bindings) int {
	total := 0
	for i := range b.Counts {
		total += b.Counts[i].Count
	}
	return total
}

// partition drops all messages between the first n routers and the others.
func partition(f *sim.Fleet, n int) {
	inFirst := make(map[*sim.Router]bool)
	for _, r := range f.Routers[:n] {
		inFirst[r] = true
	}
	f.Blocked = func(a, b *sim.Router) bool { return inFirst[a] != inFirst[b] }
}

func TestRouterBoundToAnEarlierViewCountsOnlyForItsOwner(t *testing.T) {
	c := qt.New(t)
	members := make([]member.Member, 5)
	for i := range members {
		members[i] = member.Member{Name: fmt.Sprint("host-", i), Incarnation: uint64(i + 1), Region: "r"}
	}
	before, after := member.NewView(members), member.NewView(members[1:])
	moved, kept := 0, 0
	for key := range 100 {
		endpoint := fmt.Sprint("endpoint-", key)
		owner, _ := after.Owner(member.DutyAdmission, endpoint)
		old, _ := before.Owner(member.DutyAdmission, endpoint)
		s := member.Bindings{Self: owner, Known: 5, Counts: []member.BindingCount{
			{View: after, Prev: before, Count: 3}, {View: after, Count: 1},
		}}
		if old.Name == owner.Name {
			c.Check(s.CountFor(member.DutyAdmission, endpoint), qt.Equals, 4)
			kept++
			continue
		}
		c.Check(s.CountFor(member.DutyAdmission, endpoint), qt.Equals, 1)
		moved++
	}
	c.Assert(moved > 0 && kept > moved, qt.IsTrue)
}

func TestCompetingOwnersNeverCountRouterTwice(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	most := 0
	f.OnTick = func(*sim.Router) {
		for key := range 20 {
			endpoint, sum := fmt.Sprint("endpoint-", key), 0
			for _, r := range f.Routers {
				if r.Up && !r.Paused {
					sum += r.Table.Bindings(f.Now).CountFor(member.DutyAdmission, endpoint)
				}
			}
			most = max(most, sum)
		}
	}
	for range 3 {
		partition(f, 3)
		f.Run(12 * time.Second)
		f.Blocked = nil
		f.Run(6 * time.Second)
		f.Pause(f.Routers[2])
		f.Run(9 * time.Second)
		f.Resume(f.Routers[2])
		f.Run(3 * time.Second)
		f.Kill(f.Routers[5])
		f.Run(time.Second)
		f.Start(f.Routers[5])
		f.Run(8 * time.Second)
	}
	c.Assert(most, qt.Equals, 7)
}

func TestPausedRouterOwnsNothingUntilMajorityIsReachable(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	r := f.Routers[3]
	c.Assert(countBindings(r.Table.Bindings(f.Now)), qt.Equals, 7)
	f.Pause(r)
	f.Run(10 * time.Second)
	c.Assert(countBindings(r.Table.Bindings(f.Now)), qt.Equals, 0) // the clock shows the pause
	c.Assert(r.Table.MajorityAge(f.Now) > 8*time.Second, qt.IsTrue)
	partition(f, 4)
	f.Blocked = func(a, b *sim.Router) bool { return (a == r) != (b == r) }
	f.Resume(r)
	f.Run(3 * time.Second) // the delayed messages do not count as new
	c.Assert(countBindings(r.Table.Bindings(f.Now)), qt.Equals, 0)
	f.Blocked = nil
	waitForAgreement(c, f, time.Minute)
	f.Run(10 * time.Second)
	c.Assert(countBindings(r.Table.Bindings(f.Now)), qt.Equals, 7)
}

func TestMinorityKeepsCountingHostsThatTheListDropped(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	minority := f.Routers[0]
	partition(f, 3)
	visible := f.List()[:3]
	f.List = func() []member.Member { return visible } // the list contains the minority only
	f.Run(time.Minute)
	c.Assert(minority.Table.Known(f.Now), qt.Equals, 7)
	c.Assert(countBindings(minority.Table.Bindings(f.Now)), qt.Equals, 3)
	f.List = func() []member.Member { return nil } // the list is empty
	f.Run(10 * time.Second)
	c.Assert(countBindings(minority.Table.Bindings(f.Now)), qt.Equals, 0)
}

func TestMajorityForgetsHostsThatTheListDropped(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	f.Kill(f.Routers[0])
	f.Run(5 * time.Second)
	c.Assert(f.Routers[1].Table.Known(f.Now), qt.Equals, 7)
	f.Run(20 * time.Second)
	c.Assert(f.Routers[1].Table.Known(f.Now), qt.Equals, 6)
}

func TestOneWayLinkDoesNotRemoveMember(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	view := f.Routers[0].Table.View()
	f.Blocked = func(a, b *sim.Router) bool { return a == f.Routers[1] && b == f.Routers[2] }
	f.Run(time.Minute)
	for _, r := range f.Routers {
		c.Check(r.Table.View().ID, qt.Equals, view.ID)
	}
}

func TestRepeatedDeathsDelayRejoin(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	r := f.Routers[6]
	var waits []time.Duration
	for range 4 {
		f.Kill(r)
		f.Run(9 * time.Second)
		f.Start(r)
		waits = append(waits, waitForAgreement(c, f, time.Minute))
	}
	c.Logf("%v", waits)
	c.Assert(waits[3] > 2*waits[0], qt.IsTrue)
}

func TestDrainingRouterHandsOverDuties(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7)
	r := f.Routers[2]
	r.Table.SetDraining(f.Now, true)
	r.Member.Draining = true
	waitForAgreement(c, f, 20*time.Second)
	f.Run(5 * time.Second)
	for _, other := range f.Routers {
		c.Check(other.Table.View().Index(r.Member.Name), qt.Equals, -1)
		c.Check(countBindings(other.Table.Bindings(f.Now)) >= 6, qt.IsTrue)
	}
	c.Check(r.Table.Bindings(f.Now).CountFor(member.DutyAdmission, "e"), qt.Equals, 0)
}

func TestConfigGossipIsRelayed(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 20)
	read := f.Now
	f.Routers[0].Table.MergeConfigGossip(member.ConfigGossip{Version: 9, End: 12, LogReadAt: read})
	f.Run(6 * time.Second)
	for _, r := range f.Routers {
		n := r.Table.ConfigGossip()
		c.Check(n.Version, qt.Equals, uint64(9))
		c.Check(n.End, qt.Equals, uint64(12))
		late := n.LogReadAt.Sub(read)
		c.Check(late < 50*time.Millisecond && late > -time.Second, qt.IsTrue, qt.Commentf("%v", late))
	}
}
