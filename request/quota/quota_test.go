package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func members(demands ...int) []Member {
	list := make([]Member, len(demands))
	for i, d := range demands {
		list[i] = Member{Name: fmt.Sprint("r", i), Heard: d >= 0, Demand: max(0, d)}
	}
	return list
}

// shares returns the share of each router in its own view, with the others in any order.
func shares(rng *rand.Rand, seed uint64, total int, list []Member) []int {
	got := make([]int, len(list))
	for i := range list {
		var others []Member
		for _, j := range rng.Perm(len(list)) {
			if j != i {
				others = append(others, list[j])
			}
		}
		got[i] = Share(seed, total, list[i], others)
	}
	return got
}

func sum(list []int) (n int) {
	for _, x := range list {
		n += x
	}
	return n
}

// While all routers have the same view, their shares add up to the total.
func TestSharesAddUpToTheTotal(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		demands := make([]int, 1+rng.IntN(60))
		for i := range demands {
			demands[i] = rng.IntN(200) - 20 // negative: not heard of
		}
		total := rng.IntN(100)
		got := shares(rng, rng.Uint64(), total, members(demands...))
		c.Assert(sum(got), qt.Equals, total, qt.Commentf("%v of %v", got, demands))
	}
}

func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	c.Assert(shares(rng, 1, 14, members(0, 0, 0, 0, 0, 0, 0)), qt.DeepEquals, []int{2, 2, 2, 2, 2, 2, 2})
	c.Assert(shares(rng, 1, 14, members(9, 9, 9, 9, 9, 9, 9)), qt.DeepEquals, []int{2, 2, 2, 2, 2, 2, 2})
	c.Assert(shares(rng, 1, 28, members(300, 0, 0, 0, 0, 0, 0))[0] >= 22, qt.IsTrue)
	c.Assert(shares(rng, 1, 28, members(300, -1, 0, 0, 0, 0, 0))[1], qt.Equals, 4) // it may go on sending
	alone := Share(1, 28, Member{Name: "r0", Heard: true, Demand: 300}, members(-1, -1, -1, -1, -1, -1, -1)[1:])
	c.Assert(alone, qt.Equals, 4)
}

func TestQuotaOfRate(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{-1, 0, 0.01, 0.3, 0.5, 1, 1.7, 3.2, 6.5, 60, 1e9} {
		for _, routers := range []int{1, 7, 60} {
			q := OfRate(rate, routers)
			windows := (longestWindow + q.Window - 1) / q.Window
			c.Assert(q.Total >= 1 && q.Window >= time.Second, qt.IsTrue)
			c.Assert(float64(int(windows)*q.Total) <= 4*max(0, rate)+1, qt.IsTrue, qt.Commentf("%v: %v", rate, q))
		}
	}
}

func TestDemand(t *testing.T) {
	c := qt.New(t)
	var d Demand
	now := time.Unix(1_700_000_000, 0)
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		d.Add(now)
	}
	c.Assert(d.Tenths(now) > 190 && d.Tenths(now) < 210, qt.IsTrue)
	c.Assert(d.Tenths(now.Add(time.Minute)), qt.Equals, 0)
}
