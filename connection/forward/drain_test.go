package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/pace"
)

func TestRequestsThatAreNotCompleteInTimeAreRefused(t *testing.T) {
	c := qt.New(t)
	t0 := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	s := &Server{}
	const route, service, limit, tokens = "r", "s", 5 * time.Second, 100
	may := func(ms, tokens int) bool {
		return s.mayComplete(at(ms), service, &Record{Route: route}, pace.Size{Most: tokens}, at(ms).Add(limit))
	}
	c.Assert(may(7000, tokens), qt.IsTrue) // the process is not being stopped
	s.StartDrain(DrainPlan{Began: t0, AcceptAllUntil: at(2800), End: at(7600), Exit: at(7900)})
	c.Assert(may(2700, tokens), qt.IsTrue)
	c.Assert(may(2800, tokens), qt.IsFalse) // nothing is known but its limit
	c.Assert(s.mayComplete(at(6000), service, &Record{Route: route}, pace.Size{Most: tokens}, at(7600)), qt.IsTrue)
	for _, took := range []time.Duration{100, 1000, 200} {
		s.paces.Record(t0, "few", pace.Run{Took: took * time.Millisecond, Complete: true})
	}
	c.Assert(s.mayComplete(at(2800), service, &Record{Route: "few"}, pace.Size{}, at(8000)), qt.IsFalse) // three that differ are no bound
	for range 500 {
		s.paces.Record(t0, route, pace.Run{Size: pace.Size{Most: tokens}, Took: time.Second, Complete: true})
	}
	bound, known := s.paces.Bound(t0, route, service, pace.Size{Most: tokens})
	c.Assert(known, qt.IsTrue)
	c.Assert(bound < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", bound))
	latest := 7600 - int((pace.Silence + bound).Milliseconds()) - 1
	c.Assert(may(latest, tokens), qt.IsTrue)
	c.Assert(may(latest+1, tokens), qt.IsFalse)
	c.Assert(may(2800, 4*tokens), qt.IsFalse)
	c.Assert(may(2800, 2*tokens), qt.IsTrue)
}
