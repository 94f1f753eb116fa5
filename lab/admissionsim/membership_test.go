package admissionsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMembershipBytesAndDetectionStayWithinBounds(t *testing.T) {
	c := qt.New(t)
	r := Membership(20, 1)
	c.Logf("%+v", r)
	c.Check(r.FalseDeaths, qt.Equals, 0)
	c.Check(r.SentPerSecond < 2000, qt.IsTrue)
	c.Check(r.DeathAfter < 10, qt.IsTrue)
}
