package measure

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMembershipAndAdmissionMeetTargetsAtPresentSize(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"member", "admission", "cold"} {
		r, err := Run(name, Options{Seed: 1, Seeds: 1, Workers: 2, Small: true})
		c.Assert(err, qt.IsNil)
		c.Check(len(r.Checks) > 0, qt.IsTrue)
		c.Check(r.Failed(), qt.Equals, 0, qt.Commentf("%+v", r.Checks))
	}
}
