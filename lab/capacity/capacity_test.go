package capacity

import (
	"math"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFitFindsLine(t *testing.T) {
	c := qt.New(t)
	s := Series{Points: []Point{{1, 5}, {2, 7}, {10, 23}}}
	line := s.Fit()
	c.Check(math.Abs(line.Intercept-3) < 1e-9 && math.Abs(line.Slope-2) < 1e-9 && line.MaxError < 1e-9, qt.IsTrue, qt.Commentf("%+v", line))
	s.Points[1].Value = 12
	c.Check(s.Fit().MaxError > 0.1, qt.IsTrue)
	level := Series{Points: []Point{{1, 5}}}
	c.Check(level.Fit().At(100), qt.Equals, 5.0)
}

// TestPageMatchesMeasurements checks that the tables of the page in docs are
// those of the measurements in docs.
func TestPageMatchesMeasurements(t *testing.T) {
	c := qt.New(t)
	measured, err := Load("../../docs/measurements")
	c.Assert(err, qt.IsNil)
	c.Check(len(measured) >= len(Probes()), qt.IsTrue)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	c.Assert(err, qt.IsNil)
	regenerated, err := Page(string(page), measured)
	c.Assert(err, qt.IsNil)
	c.Check(regenerated, qt.Equals, string(page), qt.Commentf("run stoatctl capacity"))
}

func TestMissingMeasurementsAreReported(t *testing.T) {
	c := qt.New(t)
	page, err := Page("", nil)
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(page, "`membership/sent_bytes_per_second` is not measured"), qt.IsTrue)
	c.Check(strings.Contains(page, "| not measured |"), qt.IsTrue)
	_, err = Page("# A page without marks", nil)
	c.Check(err, qt.IsNotNil)
}

// TestPermitProbeMeasuresGrants guards against a probe that measures refusals.
func TestPermitProbeMeasuresGrants(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{7, 100} {
		_, granted := grantPermits(n)
		c.Check(granted, qt.Equals, timedPermits, qt.Commentf("%d routers", n))
	}
}
