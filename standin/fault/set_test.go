package fault_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/standin/fault"
)

func trigger(s *fault.Set, steps int) []bool {
	triggered := make([]bool, steps)
	for i := range triggered {
		_, triggered[i] = s.Trigger(fault.Slow)
	}
	return triggered
}

func TestFaultParameters(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	s := fault.NewSet(clock, 1)
	c.Check(trigger(s, 1), qt.DeepEquals, []bool{false})

	c.Assert(s.On(fault.Fault{Name: fault.Slow, Count: 2}), qt.IsNil)
	c.Check(trigger(s, 3), qt.DeepEquals, []bool{true, true, false})

	c.Assert(s.On(fault.Fault{Name: fault.Slow, For: time.Second}), qt.IsNil)
	c.Check(trigger(s, 1), qt.DeepEquals, []bool{true})
	clock.Advance(time.Second)
	c.Check(trigger(s, 1), qt.DeepEquals, []bool{false})
	c.Check(s.Triggered(fault.Slow), qt.Equals, 3)

	c.Check(s.On(fault.Fault{Name: fault.Slow, Probability: 2}), qt.IsNotNil)
	c.Assert(s.On(fault.Fault{Name: fault.Slow}), qt.IsNil)
	s.Clear()
	c.Check(trigger(s, 1), qt.DeepEquals, []bool{false})
}

func TestSeedDecidesAtWhichStepsFaultsTrigger(t *testing.T) {
	c := qt.New(t)
	var runs [3][]bool
	for i, seed := range []uint64{7, 7, 8} {
		s := fault.NewSet(clockwork.NewFakeClock(), seed)
		c.Assert(s.On(fault.Fault{Name: fault.Slow, Probability: 0.5}), qt.IsNil)
		runs[i] = trigger(s, 64)
	}
	c.Check(runs[0], qt.DeepEquals, runs[1])
	c.Check(runs[0], qt.Not(qt.DeepEquals), runs[2])
}
