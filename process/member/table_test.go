package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/member"
)

// waitForAgreement runs f until all live routers are on one correct view and
// returns how long that took. It fails the test after limit.
func waitForAgreement(c *qt.C, f *sim.Fleet, limit time.Duration) time.Duration {
	start := f.Now
	for f.Now.Sub(start) < limit {
		f.Run(100 * time.Millisecond)
		if _, agreed := f.Views(); agreed {
			return f.Now.Sub(start)
		}
	}
	views, _ := f.Views()
	c.Fatalf("%d views after %v", views, limit)
	return 0
}

func TestFleetConvergesAfterHostDeathAndRestart(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 2, 7, 50} {
		f := sim.New(n, member.DefaultConfig(), 1)
		c.Logf("n=%d start %v", n, waitForAgreement(c, f, 20*time.Second))
		f.Run(10 * time.Second)
		if n < 3 {
			continue
		}
		f.Kill(f.Routers[1])
		c.Logf("n=%d death %v", n, waitForAgreement(c, f, 20*time.Second))
		f.Run(5 * time.Second)
		f.Start(f.Routers[1])
		c.Logf("n=%d back %v", n, waitForAgreement(c, f, 30*time.Second))
		f.Run(10 * time.Second)
		for _, r := range f.Routers {
			s := r.Table.Bindings(f.Now)
			c.Assert(s.Known, qt.Equals, n)
			c.Assert(len(s.Counts), qt.Equals, 1)
			c.Check(10*s.Counts[0].Count > 9*n, qt.IsTrue, qt.Commentf("n=%d %s counts %d", n, r.Member.Name, s.Counts[0].Count))
		}
	}
}
