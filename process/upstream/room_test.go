package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// brittleTable returns a table of one router with an endpoint of eight slots that is brittle.
func brittleTable(c *qt.C) (*Table, time.Time) {
	table := newTable(0)
	table.Apply(t0, []Change{put(0, func(e *Entry) { e.Slots = 8 })}, false)
	g, _ := acquire(table, t0)
	c.Assert(table.RecordAnnouncement(t0, g, balance.Announcement{Brittle: true, MaxRejections: 4}), qt.IsTrue)
	table.Release(t0, g, balance.NoFailure, time.Millisecond)
	return table, t0.Add(2 * slowStartTime)
}

// fill acquires until the table refuses and returns how many requests fit.
func fill(table *Table, now time.Time) (n int, refusal *balance.Refusal) {
	var grants []*balance.Grant
	for n < 100 {
		g, r := acquire(table, now)
		if r != nil {
			refusal = r
			break
		}
		grants = append(grants, g)
		n++
	}
	for _, g := range grants {
		table.Release(now, g, balance.NoFailure, 100*time.Millisecond)
	}
	return n, refusal
}

func TestBrittleEndpointIsNotFilled(t *testing.T) {
	c := qt.New(t)
	table, now := brittleTable(c)
	n, refusal := fill(table, now)
	c.Assert(n >= 6 && n < 8, qt.IsTrue, qt.Commentf("%d", n))
	c.Assert(refusal.Code, qt.Equals, outcome.EndpointLimited)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)

	g, _ := acquire(table, now)
	c.Assert(table.RecordRejection(now, g), qt.IsTrue)
	c.Assert(table.FellUnderLoad(now, g), qt.IsTrue)
	table.Release(now, g, balance.Shed, time.Millisecond)
	less, _ := fill(table, now)
	c.Assert(less < n, qt.IsTrue)
	more, _ := fill(table, now.Add(10*time.Second))
	c.Assert(more >= 6, qt.IsTrue)

	id := Incarnation{"e0", 1}
	table.MergeRestrictions(now, "a", []Restriction{{Incarnation: id, AgeMS: -1, Rejected: 2}})
	table.MergeRestrictions(now, "b", []Restriction{{Incarnation: id, AgeMS: -1, Rejected: 1}})
	n, _ = fill(table, now) // all together near what it bears
	c.Assert(n, qt.Equals, 0)
}

// The return after a fall is a slow start at all routers, also where the process has a new
// registration and has not said yet that it is brittle.
func TestBrittleEndpointThatComesBackStartsSlowly(t *testing.T) {
	c := qt.New(t)
	table, now := brittleTable(c)
	table.MergeRestrictions(now, "a", []Restriction{{Incarnation: Incarnation{"e0", 1}, AgeMS: -1, DownMS: 100}})
	n, _ := fill(table, now)
	c.Assert(n <= 3, qt.IsTrue, qt.Commentf("%d", n))
	later, _ := fill(table, now.Add(slowStartTime/2))
	c.Assert(later > n, qt.IsTrue)

	table.Apply(now, []Change{put(1, func(e *Entry) { e.Slots = 8 })}, false)
	table.Apply(now, []Change{put(0, func(e *Entry) { e.Slots, e.Draining = 8, true })}, false)
	n, _ = fill(table, now)
	c.Assert(n <= 3, qt.IsTrue, qt.Commentf("%d", n))
}

// Each rejection that another router tells counts once.
func TestToldRejectionCountsOnce(t *testing.T) {
	c := qt.New(t)
	table, now := brittleTable(c)
	told := []Restriction{{Incarnation: Incarnation{"e0", 1}, AgeMS: -1, Rejected: 1}}
	for range 5 {
		table.MergeRestrictions(now, "a", told)
	}
	c.Assert(table.byID["e0"].restrictions.room.factorAt(now), qt.Equals, rejectionFactor)
	table.MergeRestrictions(now, "a", nil)
	table.MergeRestrictions(now, "a", told)
	twice := rejectionFactor
	twice *= rejectionFactor
	c.Assert(table.byID["e0"].restrictions.room.factorAt(now), qt.Equals, twice)
}
