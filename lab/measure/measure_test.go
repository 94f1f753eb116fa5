package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// short is a workload that runs within a second.
func short() Workload {
	w := Cooperative()
	w.Warmup = 5 * time.Minute
	w.Counted = 5 * time.Minute
	return w
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	c := qt.New(t)
	w := short()
	for _, p := range append(baselines(), productMaker, oracleMaker) {
		a := newFleet(&w, scenario{churnEvery: time.Minute}, 7, p).run()
		b := newFleet(&w, scenario{churnEvery: time.Minute}, 7, p).run()
		c.Check(a.requests > 0, qt.IsTrue)
		c.Check(a.reuse(), qt.Equals, b.reuse(), qt.Commentf("%s", p.name))
		c.Check(a.calm.mean(), qt.Equals, b.calm.mean(), qt.Commentf("%s", p.name))
	}
}

func TestAdmissionHoldsCapsInEveryScenario(t *testing.T) {
	c := qt.New(t)
	w := short()
	for _, s := range []scenario{{}, {surge: true}, {zoneOut: true}, {churnEvery: time.Minute}} {
		got := newFleet(&w, s, 3, productMaker).run()
		c.Check(got.overCap, qt.Equals, 0)
		c.Check(got.overBears, qt.Equals, 0)
		c.Check(got.overCold, qt.Equals, 0)
	}
}
