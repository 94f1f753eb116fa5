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
	w.Measured = 5 * time.Minute
	return w
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	c := qt.New(t)
	w := short()
	for _, p := range append(baselines(), productPolicy, oraclePolicy) {
		a := newFleet(&w, scenario{upgradeInterval: time.Minute}, 7, p).run()
		b := newFleet(&w, scenario{upgradeInterval: time.Minute}, 7, p).run()
		c.Check(a.requests > 0, qt.IsTrue)
		c.Check(a.reuse(), qt.Equals, b.reuse(), qt.Commentf("%s", p.name))
		c.Check(a.waitBefore.mean(), qt.Equals, b.waitBefore.mean(), qt.Commentf("%s", p.name))
	}
}

func TestAdmissionHoldsCapsInEveryScenario(t *testing.T) {
	c := qt.New(t)
	w := short()
	for _, s := range []scenario{{}, {surge: true}, {zoneOutOfService: true}, {upgradeInterval: time.Minute}} {
		stats := newFleet(&w, s, 3, productPolicy).run()
		c.Check(stats.overCap, qt.Equals, 0)
		c.Check(stats.overCapacity, qt.Equals, 0)
		c.Check(stats.overCold, qt.Equals, 0)
	}
}
