package admissionsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestColdStartKeepsColdCapAndNearsIdealRamp(t *testing.T) {
	c := qt.New(t)
	for _, r := range ColdStart(Small, []uint64{1, 2}, 2) {
		c.Logf("%+v", r)
		c.Check(r.Invariants, qt.Equals, int64(0))
		if r.Announced {
			c.Check(r.Overruns, qt.Equals, 0, qt.Commentf("seed %d", r.Seed))
		}
		if r.Announced && !r.Flapping {
			c.Check(r.Ratio <= 1.5, qt.IsTrue, qt.Commentf("seed %d: %v", r.Seed, r.Ratio))
		}
	}
}

func TestMembershipBytesAndDetectionStayWithinBounds(t *testing.T) {
	c := qt.New(t)
	r := Membership(20, 1)
	c.Logf("%+v", r)
	c.Check(r.FalseDeaths, qt.Equals, 0)
	c.Check(r.SentPerSecond < 2000, qt.IsTrue)
	c.Check(r.DeathAfter < 10, qt.IsTrue)
}

func TestSurgeStaysWithinTheCap(t *testing.T) {
	c := qt.New(t)
	baseline := 0
	for _, r := range Surge(Small, []uint64{1, 2, 3}, 2) {
		c.Logf("%+v", r)
		if r.Policy != policies()[0].name {
			baseline += r.Overruns
			continue
		}
		c.Check(r.Overruns, qt.Equals, 0)
		c.Check(r.Invariants, qt.Equals, int64(0))
		c.Check(r.OverMean, qt.Equals, int64(0))
	}
	c.Check(baseline > 0, qt.IsTrue)
}
