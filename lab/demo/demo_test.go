package demo

import (
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

func TestDemonstrationViolatesNoGuarantee(t *testing.T) {
	c := qt.New(t)
	result, err := Run(context.Background(), Options{Seconds: 4, Seed: 1, Log: logr.Discard()})
	c.Assert(err, qt.IsNil)
	c.Check(result.Findings, qt.HasLen, 0)
	c.Check(result.Failed(), qt.IsFalse, qt.Commentf("%+v", result))
	c.Check(result.Sent > 0, qt.IsTrue)
	c.Check(result.CompletedOnceInTime > 0, qt.IsTrue)
	c.Check(result.ZoneOut.Zone, qt.Equals, "xela-a")

	var keys map[string]json.RawMessage
	data, err := json.Marshal(result)
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(data, &keys), qt.IsNil)
	for _, key := range []string{
		"sent", "completed_once_in_time", "refused_not_run", "outcome_unknown", "ran_more_than_once",
		"invariant_violations", "cache_reuse", "load_skew", "control_bytes_per_router_second", "kinds",
	} {
		c.Check(keys[key], qt.IsNotNil, qt.Commentf("%s", key))
	}
}
