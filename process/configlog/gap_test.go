package configlog

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/logstore"
	"github.com/stoatmount/stoatmount/version/config"
)

// Records that expire before a router reads them, without a later checkpoint,
// are reported as a gap and make the router refuse every change but a restore,
// which closes the gap.
func TestRecordsThatExpireUnreadRequireARestore(t *testing.T) {
	c := qt.New(t)
	const kept = 4
	clock := clockwork.NewRealClock()
	log := logstore.NewMemory(logstore.Options{KeepRecords: kept})
	f := NewFollower(Options{Self: Member{Name: "a", Region: "r"}, Log: log, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)),
		Checker: invariant.New(logr.Discard()), Logger: logr.Discard(), SubmitTimeout: time.Second})
	ctx := context.Background()
	appendChange := func(ch Change) platformclient.Offset {
		ch.ID, ch.ObservedEnd = NewChangeID(), 1
		data, err := encodeChange(ch)
		c.Assert(err, qt.IsNil)
		at, err := log.Append(ctx, platformclient.StreamConfig, [][]byte{data})
		c.Assert(err, qt.IsNil)
		return at
	}
	appendChange(Change{Op: OpRestore, Config: testConfig("m1")})
	c.Assert(f.Poll(ctx, 0), qt.IsNil)
	c.Assert(f.Status().Missing, qt.IsNil)
	known := f.Status().Next

	last := platformclient.Offset(0)
	for range 3 * kept {
		last = appendChange(Change{Op: OpTakeOut, Target: &config.Target{Scope: config.ScopeZone, Name: "none"}})
	}
	c.Assert(f.Poll(ctx, 0), qt.ErrorIs, errNoStart)
	c.Assert(f.Status().Missing, qt.DeepEquals, &Gap{From: known, To: last - kept + 1})
	_, err := f.BeginSubmission(Change{Op: OpPush, Config: testConfig("m1")})
	refusal, ok := outcome.AsRefusal(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refusal.Code, qt.Equals, outcome.RestoreNeeded)

	s, err := f.BeginSubmission(Change{Op: OpRestore, Config: testConfig("m1")})
	c.Assert(err, qt.IsNil)
	for !s.Done() {
		s.Step(ctx)
		c.Assert(f.Poll(ctx, 0), qt.IsNil)
	}
	decision, err := s.Result()
	c.Assert(err, qt.IsNil)
	c.Assert(decision.Accepted, qt.IsTrue)
	c.Assert(f.Status().Missing, qt.IsNil)
	c.Assert(f.Version(), qt.Equals, config.Version(last+1))
}
