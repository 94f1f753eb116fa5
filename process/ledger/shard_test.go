package ledger

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/logstore"
)

// keyAt returns a key with the time of creation t.
func keyAt(t time.Time, n byte) Key {
	var id uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return Key(uuidPrefix + "ws/" + id.String())
}

// testLog is a log with a fake clock and the options of its shards.
type testLog struct {
	clock *clockwork.FakeClock
	log   *logstore.Memory
	rand  *rand.Rand
	opt   Options
}

func newTestLog(keep time.Duration) *testLog {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	log := logstore.NewMemory(logstore.Options{Clock: clock, KeepFor: keep})
	return &testLog{
		clock: clock, log: log, rand: rand.New(rand.NewPCG(1, 2)),
		opt: Options{Log: log, Clock: clock, Logger: logr.Discard(), Window: time.Minute},
	}
}

// open returns a shard that has read the log to its end.
func (l *testLog) open(c *qt.C) *Shard {
	s := NewShard(l.opt, 0)
	c.Assert(s.Tail(context.Background(), 0), qt.IsNil)
	return s
}

func (l *testLog) claim(key Key) Claim {
	return Claim{Key: key, Attempt: NewAttemptID(l.rand), Fingerprint: 7, MaxDuration: 10 * time.Second}
}

// round tries one group commit and reads the log to its end.
func (l *testLog) round(c *qt.C, s *Shard) {
	ctx := context.Background()
	_, _ = s.Flush(ctx)
	l.clock.Advance(time.Millisecond)
	c.Assert(s.Tail(ctx, 0), qt.IsNil)
}

func TestFirstClaimInLogOrderWinsAcrossAppenders(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s1, s2 := l.open(c), l.open(c)
	key := keyAt(l.clock.Now(), 1)
	a1, a2 := l.claim(key), l.claim(key)
	t1, t2 := s1.Submit(a1), s2.Submit(a2)
	l.round(c, s2)
	l.round(c, s1)
	c.Check(t2.Result().State, qt.Equals, Won)
	c.Check(t1.Result().State, qt.Equals, InProgress)
	c.Check(t1.Result().RetryAfter > 0 && t1.Result().RetryAfter <= maxRetryAfter, qt.IsTrue, qt.Commentf("%v", t1.Result().RetryAfter))
	response := &StoredResponse{Status: 200, Body: []byte("booked")}
	s2.RecordOutcome(Outcome{Key: key, Attempt: a2.Attempt, Run: outcome.RunDone, Response: response})
	l.round(c, s2)
	c.Assert(s1.Tail(context.Background(), 0), qt.IsNil)
	again := s1.Submit(l.claim(key))
	c.Check(again.Result().State, qt.Equals, Done)
	c.Check(string(again.Result().Response.Body), qt.Equals, "booked")
}

func TestLostReplyIsReadBackBeforeAppendingAgain(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s := l.open(c)
	c.Assert(l.log.Faults().On(fault.Fault{Name: fault.LostReply, Count: 1}), qt.IsNil)
	pending := s.Submit(l.claim(keyAt(l.clock.Now(), 1)))
	l.round(c, s)
	c.Check(pending.Result().State, qt.Equals, Won)
	c.Check(s.Stats().Reappended, qt.Equals, int64(0))
	c.Check(l.log.All(Stream(0)), qt.HasLen, 1)
}

func TestAbandonedClaimNeverWins(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s := l.open(c)
	key := keyAt(l.clock.Now(), 1)
	claim := l.claim(key)
	pending := s.Submit(claim)
	_, err := s.Flush(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(s.Abandon(pending).State, qt.Equals, LogUnavailable)
	l.clock.Advance(time.Millisecond)
	l.round(c, s)
	c.Check(s.Submit(claim).Result().State, qt.Equals, Abandoned)
	next := s.Submit(l.claim(key))
	l.round(c, s)
	c.Check(next.Result().State, qt.Equals, Won)
}

func TestKeyOlderThanTheWindowIsRefused(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s := l.open(c)
	key := keyAt(l.clock.Now(), 1)
	first := s.Submit(l.claim(key))
	l.round(c, s)
	c.Check(first.Result().State, qt.Equals, Won)
	l.clock.Advance(2 * time.Minute)
	other := s.Submit(l.claim(keyAt(l.clock.Now(), 2)))
	l.round(c, s)
	c.Check(other.Result().State, qt.Equals, Won)
	c.Check(s.Stats().Keys, qt.Equals, 1)
	late := s.Submit(l.claim(key))
	l.round(c, s)
	c.Check(late.Result().State, qt.Equals, KeyTooOld)
}

func TestReplayStartsWithinTheWindow(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s := l.open(c)
	for i := range 200 {
		s.Submit(l.claim(keyAt(l.clock.Now(), byte(i))))
		l.round(c, s)
		l.clock.Advance(5 * time.Second)
	}
	held := s.Submit(l.claim(keyAt(l.clock.Now(), 201)))
	l.round(c, s)
	c.Check(held.Result().State, qt.Equals, Won)
	next := l.open(c)
	c.Check(next.Stats().RecordsRead < 50, qt.IsTrue, qt.Commentf("%d", next.Stats().RecordsRead))
	c.Check(next.Submit(l.claim(held.claim.Key)).Result().State, qt.Equals, InProgress)
}

func TestClaimsAreRefusedWhenEarlierOnesMayHaveExpired(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(time.Second)
	s := l.open(c)
	key := keyAt(l.clock.Now(), 1)
	c.Check(s.Submit(l.claim(key)).Result().State, qt.Equals, Unsettled)
	l.round(c, s)
	l.clock.Advance(5 * time.Second)
	restarted := l.open(c)
	again := restarted.Submit(l.claim(key))
	l.round(c, restarted)
	c.Check(again.Result().State, qt.Equals, KeyTooOld)
	l.clock.Advance(time.Millisecond)
	fresh := restarted.Submit(l.claim(keyAt(l.clock.Now(), 2)))
	l.round(c, restarted)
	c.Check(fresh.Result().State, qt.Equals, Won)
}

func TestAbandonedAttemptIsNeverDispatched(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a := NewAttempt(AttemptID{High: 1}, now.Add(time.Second))
	c.Check(a.Dispatch(now), qt.IsFalse)
	c.Check(a.ApplyClaimResult(Result{State: Won}), qt.IsTrue)
	c.Check(a.Abandon(), qt.IsTrue)
	c.Check(a.Dispatch(now), qt.IsFalse)
	late := NewAttempt(AttemptID{High: 2}, now)
	c.Check(late.ApplyClaimResult(Result{State: Won}), qt.IsTrue)
	c.Check(late.Dispatch(now.Add(time.Second)), qt.IsFalse)
	once := NewAttempt(AttemptID{High: 3}, now)
	c.Check(once.ApplyClaimResult(Result{State: Won}), qt.IsTrue)
	c.Check(once.Dispatch(now), qt.IsTrue)
	c.Check(once.Dispatch(now), qt.IsFalse)
	c.Check(once.Abandon(), qt.IsFalse)
}

func TestRetryGetsTheResponseBeforeItIsInTheLog(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s := l.open(c)
	key := keyAt(l.clock.Now(), 1)
	claim := l.claim(key)
	s.Submit(claim)
	l.round(c, s)
	c.Check(s.Submit(l.claim(key)).Result().State, qt.Equals, InProgress)
	s.RecordOutcome(Outcome{Key: key, Attempt: claim.Attempt, Run: outcome.RunDone, Response: &StoredResponse{Status: 200, Body: []byte("booked")}})
	again := s.Submit(l.claim(key)).Result()
	c.Assert(again.State, qt.Equals, Done)
	c.Check(string(again.Response.Body), qt.Equals, "booked")
}
