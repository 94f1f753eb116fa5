package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/balance"
)

// releaseAfter ends a request of an endpoint that took a time.
func releaseAfter(c *qt.C, t *Table, now time.Time, id string, f balance.Failure, took time.Duration) {
	others := []string{"e0", "e1", "e2", "e3"}
	for i, other := range others {
		if other == id {
			others = append(others[:i], others[i+1:]...)
			break
		}
	}
	g, refusal := acquire(t, now.Add(-took), others...)
	c.Assert(refusal, qt.IsNil)
	t.Release(now, g, f, took)
}

// Guards against slow but sound endpoints that stay ejected, while requests are refused because the others are full.
func TestSlowEndpointIsEjectedOnlyUntilItResponds(t *testing.T) {
	c := qt.New(t)
	const late, slow, quick = 400 * time.Millisecond, 900 * time.Millisecond, 10 * time.Millisecond
	healthy := func(t *Table) int { return t.CountHealthy(t0, balance.Request{Service: "s"}) }
	for name, failures := range map[string][]balance.Failure{
		"timeouts in a row": {balance.TimedOut, balance.TimedOut, balance.TimedOut},
		"an error rate":     {balance.NoFailure, balance.TimedOut, balance.TimedOut, balance.NoFailure, balance.TimedOut},
	} {
		table := newTable(4)
		for _, f := range failures {
			releaseAfter(c, table, t0, "e0", f, late)
		}
		c.Assert(healthy(table), qt.Equals, 3, qt.Commentf("%s", name))
		releaseAfter(c, table, t0, "e0", balance.NoFailure, quick) // others may hang
		c.Assert(healthy(table), qt.Equals, 3, qt.Commentf("%s", name))
		releaseAfter(c, table, t0, "e0", balance.NoFailure, slow)
		c.Assert(healthy(table), qt.Equals, 4, qt.Commentf("%s", name))
	}
	for name, failures := range map[string][]balance.Failure{
		"broken connections": {balance.Broken, balance.TimedOut, balance.TimedOut},
		"not reached":        {balance.NotReached},
	} {
		table := newTable(4)
		for _, f := range failures {
			releaseAfter(c, table, t0, "e0", f, late)
		}
		releaseAfter(c, table, t0, "e0", balance.NoFailure, slow)
		c.Assert(healthy(table), qt.Equals, 3, qt.Commentf("%s", name))
	}
}
