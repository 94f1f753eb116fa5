package admissionsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestHandoverCausesNoOverrunsButBaselinesDo(t *testing.T) {
	c := qt.New(t)
	overrun := make(map[string]int)
	for _, r := range Handover(Small, []uint64{1, 2, 3}, 2) {
		c.Logf("%+v", r)
		overrun[r.Policy] += r.Overruns
		if r.Policy == policies()[0].name {
			c.Check(r.Overruns, qt.Equals, 0, qt.Commentf("seed %d", r.Seed))
			c.Check(r.Invariants, qt.Equals, int64(0), qt.Commentf("seed %d", r.Seed))
			c.Check(r.ServedAfter >= 0.95*r.ServedBefore, qt.IsTrue, qt.Commentf("seed %d", r.Seed))
		}
	}
	c.Check(overrun["least loaded by lagged reports"] > 0, qt.IsTrue)
	c.Check(overrun["owner that waits out permits"] > 0, qt.IsTrue)
}
