package queue

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func kind(worth float64, full, deadline time.Duration, canWait bool) *config.Kind {
	return &config.Kind{Worth: worth, FullUntil: config.Duration(full), Deadline: config.Duration(deadline), CanWait: canWait}
}

var (
	live    = kind(10, 5*time.Second, 20*time.Second, false)
	cheap   = kind(2, 5*time.Second, 20*time.Second, false)
	archive = kind(1, time.Hour, 8*time.Hour, true)
)

func item(id uint64, workspace string, k *config.Kind, sent time.Time) Item {
	return Item{ID: id, Workspace: workspace, Kind: k, Sent: sent, Deadline: sent.Add(k.Deadline.Std()), ServeTime: time.Second}
}

func push(c *qt.C, q *Queue, now time.Time, i Item) {
	refused, ok := q.Push(now, i, 8)
	c.Assert(ok, qt.IsFalse, qt.Commentf("%+v", refused))
}

func pop(c *qt.C, q *Queue, now time.Time) Item {
	i, ok := q.Pop(now, 0, 8)
	c.Assert(ok, qt.IsTrue)
	return i
}

func TestPopOrdersByLossAndDefersArchive(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultBound)
	push(c, q, testNow, item(1, "a", archive, testNow))
	push(c, q, testNow, item(2, "a", cheap, testNow))
	push(c, q, testNow, item(3, "a", live, testNow))
	push(c, q, testNow, item(4, "a", live, testNow.Add(-8*time.Second)))
	var order []uint64
	for q.Len() > 0 {
		order = append(order, pop(c, q, testNow).ID)
	}
	c.Check(order, qt.DeepEquals, []uint64{4, 3, 2, 1})
}

func TestSurgingWorkspaceIsLimitedToItsShare(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultBound)
	id := uint64(0)
	add := func(workspace string, n int) {
		for range n {
			id++
			i := item(id, workspace, live, testNow)
			i.ServeTime = 0
			q.Push(testNow, i, 1000)
		}
	}
	add("surge", 150)
	add("b", 30)
	add("c", 30)
	got := make(map[string]int)
	for range 60 {
		got[pop(c, q, testNow).Workspace]++
	}
	c.Check(got["b"] >= 18 && got["c"] >= 18, qt.IsTrue, qt.Commentf("%v", got))
}

func TestAgedWorkIsNotStarved(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultBound)
	push(c, q, testNow, item(1, "a", archive, testNow))
	now := testNow
	id := uint64(1)
	for range 400 {
		now = now.Add(200 * time.Millisecond)
		for range 2 {
			id++
			q.Push(now, item(id, "b", live, now), 8)
		}
		got, ok := q.Pop(now, 7, 8)
		if ok && got.ID == 1 {
			c.Check(now.Sub(testNow) >= agedAfter, qt.IsTrue)
			return
		}
		q.Done("b", 2*time.Second)
		q.Expire(now, 8)
	}
	c.Fatal("the archive request starved")
}

func TestRequestThatMissesDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultBound)
	refused, ok := q.Push(testNow, item(1, "a", live, testNow.Add(-19500*time.Millisecond)), 8)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.Code, qt.Equals, outcome.DeadlineTooShort)

	q.Done("b", 2*time.Second)
	for id := range uint64(100) {
		q.Push(testNow, item(id+2, "a", live, testNow), 1)
	}
	c.Check(q.Len() < 12, qt.IsTrue, qt.Commentf("%d requests wait; at 2 s each only those that fit into 20 s may", q.Len()))
	left := q.Expire(testNow.Add(19500*time.Millisecond), 1)
	c.Check(q.Len(), qt.Equals, 0)
	c.Check(left[0].Code, qt.Equals, outcome.DeadlineTooShort)
}

func TestFullQueueShedsLeastWorth(t *testing.T) {
	c := qt.New(t)
	q := New(4)
	for id := range uint64(4) {
		push(c, q, testNow, item(id+1, "a", live, testNow))
	}
	refused, ok := q.Push(testNow, item(5, "a", cheap, testNow), 8)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.Item.ID, qt.Equals, uint64(5))
	c.Check(q.Len(), qt.Equals, 4)
	q.removeAt(0)
	push(c, q, testNow, item(6, "a", cheap, testNow))
	refused, ok = q.Push(testNow, item(7, "a", live, testNow), 8)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.Item.ID, qt.Equals, uint64(6))
}

func BenchmarkPushPopWith64Waiting(b *testing.B) {
	q := New(DefaultBound)
	for id := range uint64(64) {
		i := item(id, "a", live, testNow)
		i.ServeTime = 0
		q.Push(testNow, i, 1000)
	}
	b.ReportAllocs()
	for b.Loop() {
		got, _ := q.Pop(testNow, 0, 1000)
		q.Done(got.Workspace, time.Second)
		q.Push(testNow, got, 1000)
	}
}

func TestZeroLimitDuringHandoverRefusesNothing(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultBound)
	q.SetCapacity(8)
	for id := range uint64(20) {
		_, refused := q.Push(testNow, item(id+1, "a", live, testNow.Add(-10*time.Second)), 0)
		c.Check(refused, qt.IsFalse)
	}
	c.Check(q.Len(), qt.Equals, 20)
}

func TestOutlierHoldDoesNotSkewEstimate(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultBound)
	q.Done("b", 100*time.Millisecond)
	q.Done("b", time.Hour)
	for id := range uint64(20) {
		_, refused := q.Push(testNow, item(id+1, "a", live, testNow), 1)
		c.Check(refused, qt.IsFalse)
	}
}
