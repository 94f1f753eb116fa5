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
