package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

func TestRetriesAreBoundedByShareOfServedRequests(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(0.1)
	taken := 0
	for i := range 10_000 {
		b.RecordSuccess([]string{"a", "b", "c"}[i%3])
		if b.Take([]string{"b", "c", "a"}[i%3]) == outcome.OK {
			taken++
		}
	}
	c.Check(taken <= 1000+routerBurst, qt.IsTrue, qt.Commentf("%d", taken))
	c.Check(taken >= 900, qt.IsTrue, qt.Commentf("%d", taken))
}

func TestOneEndpointCannotUseTheWholeBudget(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(0.1)
	taken := 0
	for range 100 {
		if b.Take("a") == outcome.OK {
			taken++
		}
	}
	c.Check(taken, qt.Equals, endpointBurst)
	c.Check(b.Take("b"), qt.Equals, outcome.OK)
}

func TestNonIdempotentRequestIsNotRetriedOnceRun(t *testing.T) {
	c := qt.New(t)
	booking := &config.Kind{NonIdempotent: true, FirstByte: config.Duration(time.Second)}
	for _, run := range []outcome.Run{outcome.RunUnknown, outcome.RunDone} {
		a := Attempts{Kind: booking, Run: run, Dispatched: 1, Remaining: time.Minute}
		c.Check(a.CheckRetry(), qt.Equals, outcome.ResultLost)
	}
	a := Attempts{Kind: booking, Run: outcome.RunNot, Dispatched: 1, Remaining: time.Minute}
	c.Check(a.CheckRetry(), qt.Equals, outcome.OK)
	_, ok := a.HedgeDelay()
	c.Check(ok, qt.IsFalse)
}

func TestCheckRetryRefusesAtLimits(t *testing.T) {
	c := qt.New(t)
	chat := &config.Kind{FirstByte: config.Duration(2 * time.Second)}
	a := Attempts{Kind: chat, Dispatched: 1, Remaining: time.Minute, ServeTime: time.Second}
	after, ok := a.HedgeDelay()
	c.Check(ok, qt.IsTrue)
	c.Check(after, qt.Equals, time.Second)
	a.Dispatched = MaxAttempts
	c.Check(a.CheckRetry(), qt.Equals, outcome.EndpointFailed)
	a.Blocked = outcome.RequestConvicted
	c.Check(a.CheckRetry(), qt.Equals, outcome.RequestConvicted)
	a = Attempts{Kind: chat, Dispatched: 1, Remaining: time.Second / 2, ServeTime: time.Second}
	c.Check(a.CheckRetry(), qt.Equals, outcome.DeadlineTooShort)
}
