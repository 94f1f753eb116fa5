package weights_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/weights"
)

var (
	_ engine.WeightSource = (*weights.Store)(nil)
	_ engine.WeightSource = weights.Client{}
)

func TestLoadsShareTheRate(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	s, err := weights.Start("", weights.Options{Clock: clock, LoadsPerMinute: 2})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	client := weights.Client{URL: s.URL()}
	c.Check(client.Load(ctx, "m", "1", ""), qt.IsNil)
	c.Check(s.Load(ctx, "m", "1", ""), qt.IsNil)
	c.Check(client.Load(ctx, "m", "1", ""), qt.Equals, weights.ErrRate)
	clock.Advance(30 * time.Second)
	c.Check(client.Load(ctx, "m", "1", ""), qt.IsNil)
	c.Check(s.Stats(), qt.Equals, weights.Stats{Loads: 3, Refused: 1, MaxParallel: 1})
	c.Assert(s.Faults().On(fault.Fault{Name: fault.Outage}), qt.IsNil)
	c.Check(client.Load(ctx, "m", "1", ""), qt.Equals, weights.ErrOutage)
}
