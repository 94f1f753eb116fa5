package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	c := qt.New(t)
	b := New(rand.New(rand.NewPCG(1, 1)))
	var until time.Time
	for i := range failuresToOpen {
		var open bool
		until, open = b.Failure(testNow, "a", outcome.EndpointFailed)
		c.Check(open, qt.Equals, i == failuresToOpen-1)
	}
	_, ok := b.Allow(testNow, "a")
	c.Check(ok, qt.IsFalse)
	_, ok = b.Allow(testNow, "b")
	c.Check(ok, qt.IsTrue)
	c.Check(b.Status("a").Code, qt.Equals, outcome.EndpointFailed)

	_, ok = b.Allow(until, "a")
	c.Check(ok, qt.IsTrue, qt.Commentf("one probe"))
	_, ok = b.Allow(until, "a")
	c.Check(ok, qt.IsFalse, qt.Commentf("only one probe"))

	again, open := b.Failure(until, "a", outcome.EndpointSilent)
	c.Check(open, qt.IsTrue)
	c.Check(again.Sub(until) >= 2*initialOpenTime, qt.IsTrue)
	_, ok = b.Allow(again, "a")
	c.Check(ok, qt.IsTrue)
	b.Success("a")
	_, ok = b.Allow(again, "a")
	c.Check(ok, qt.IsTrue)
	c.Check(b.Status("a").State, qt.Equals, Closed)
}

func TestLostProbeDoesNotBlockForever(t *testing.T) {
	c := qt.New(t)
	b := New(rand.New(rand.NewPCG(1, 1)))
	for range failuresToOpen {
		b.Failure(testNow, "a", outcome.EndpointFailed)
	}
	probe := testNow.Add(maxOpenTime)
	_, ok := b.Allow(probe, "a")
	c.Assert(ok, qt.IsTrue)
	_, ok = b.Allow(probe.Add(probeTimeout), "a")
	c.Check(ok, qt.IsTrue)
}

func TestRefusalsDoNotCount(t *testing.T) {
	c := qt.New(t)
	b := New(rand.New(rand.NewPCG(1, 1)))
	for range 10 {
		_, open := b.Failure(testNow, "a", outcome.EndpointRefused)
		c.Check(open, qt.IsFalse)
	}
}
