package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRequestsThatAreNotCompleteInTimeAreRefused(t *testing.T) {
	c := qt.New(t)
	t0 := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	s := &Server{}
	const route, limit = "r", 5 * time.Second
	may := func(ms int) bool { return s.mayComplete(at(ms), route, at(ms).Add(limit)) }
	c.Assert(may(7000), qt.IsTrue) // the process is not being stopped
	s.StartDrain(t0, at(2800), at(7600))
	c.Assert(may(2700), qt.IsTrue)
	c.Assert(may(2800), qt.IsFalse) // nothing is known but its limit
	c.Assert(s.mayComplete(at(6000), route, at(7600)), qt.IsTrue)
	s.durations.record(t0, route, 100*time.Millisecond)
	s.durations.record(t0, route, time.Second)
	s.durations.record(t0, route, 200*time.Millisecond)
	c.Assert(may(5100), qt.IsTrue)
	c.Assert(may(5101), qt.IsFalse)
}

func TestDurationsAreForgotten(t *testing.T) {
	c := qt.New(t)
	t0 := time.Unix(1_700_000_000, 0)
	var d durations
	d.record(t0, "r", 3*time.Second)
	d.record(t0.Add(durationWindow), "r", time.Second)
	longest, known := d.longest(t0.Add(2*durationWindow-1), "r")
	c.Assert(known, qt.IsTrue)
	c.Assert(longest, qt.Equals, 3*time.Second)
	longest, _ = d.longest(t0.Add(2*durationWindow), "r")
	c.Assert(longest, qt.Equals, time.Second)
	_, known = d.longest(t0.Add(4*durationWindow), "r")
	c.Assert(known, qt.IsFalse)
	_, known = d.longest(t0.Add(4*durationWindow), "another")
	c.Assert(known, qt.IsFalse)
}
