package admissionsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

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
