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

// keyAt returns a key that was created at t.
func keyAt(t time.Time, n byte) Key {
	var id uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return Key(formUUID + "ws/" + id.String())
}

// bench is a log and shards on it under a virtual clock.
type bench struct {
	clock *clockwork.FakeClock
	log   *logstore.Memory
	rand  *rand.Rand
	opt   Options
}

func newBench(keep time.Duration) *bench {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	log := logstore.NewMemory(logstore.Options{Clock: clock, KeepFor: keep})
	return &bench{
		clock: clock, log: log, rand: rand.New(rand.NewPCG(1, 2)),
		opt: Options{Log: log, Clock: clock, Logger: logr.Discard(), Window: time.Minute},
	}
}

// open returns a shard that has read the log.
func (b *bench) open(c *qt.C) *Shard {
	s := NewShard(b.opt, 0)
	c.Assert(s.Tail(context.Background(), 0), qt.IsNil)
	return s
}

func (b *bench) claim(key Key) Claim {
	return Claim{Key: key, Attempt: NewAttemptID(b.rand), Fingerprint: 7, MaxDuration: 10 * time.Second}
}

// round makes one group commit and reads it back.
func (b *bench) round(c *qt.C, s *Shard) {
	ctx := context.Background()
	_, _ = s.Flush(ctx)
	b.clock.Advance(time.Millisecond)
	c.Assert(s.Tail(ctx, 0), qt.IsNil)
}

func TestFirstClaimInLogOrderWinsAcrossAppenders(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	s1, s2 := b.open(c), b.open(c)
	key := keyAt(b.clock.Now(), 1)
	a1, a2 := b.claim(key), b.claim(key)
	t1, t2 := s1.Submit(a1), s2.Submit(a2)
	b.round(c, s2)
	b.round(c, s1)
	c.Check(t2.Result().State, qt.Equals, Won)
	c.Check(t1.Result().State, qt.Equals, InProgress)
	c.Check(t1.Result().RetryAfter > 0 && t1.Result().RetryAfter <= repeatAfter, qt.IsTrue, qt.Commentf("%v", t1.Result().RetryAfter))
	answer := &StoredResponse{Status: 200, Body: []byte("booked")}
	s2.RecordOutcome(Outcome{Key: key, Attempt: a2.Attempt, Run: outcome.RunDone, Response: answer})
	b.round(c, s2)
	c.Assert(s1.Tail(context.Background(), 0), qt.IsNil)
	again := s1.Submit(b.claim(key))
	c.Check(again.Result().State, qt.Equals, Done)
	c.Check(string(again.Result().Response.Body), qt.Equals, "booked")
}

func TestLostReplyIsReadBackBeforeAppendingAgain(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	s := b.open(c)
	c.Assert(b.log.Faults().On(fault.Fault{Name: fault.LostReply, Count: 1}), qt.IsNil)
	ticket := s.Submit(b.claim(keyAt(b.clock.Now(), 1)))
	b.round(c, s)
	c.Check(ticket.Result().State, qt.Equals, Won)
	c.Check(s.Stats().Reappended, qt.Equals, int64(0))
	c.Check(b.log.All(Stream(0)), qt.HasLen, 1)
}

func TestAbandonedClaimNeverWins(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	s := b.open(c)
	key := keyAt(b.clock.Now(), 1)
	claim := b.claim(key)
	ticket := s.Submit(claim)
	_, err := s.Flush(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(s.Abandon(ticket).State, qt.Equals, LogUnavailable)
	b.clock.Advance(time.Millisecond)
	b.round(c, s)
	c.Check(s.Submit(claim).Result().State, qt.Equals, Abandoned)
	next := s.Submit(b.claim(key))
	b.round(c, s)
	c.Check(next.Result().State, qt.Equals, Won)
}

func TestKeyOlderThanTheWindowIsRefused(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	s := b.open(c)
	key := keyAt(b.clock.Now(), 1)
	first := s.Submit(b.claim(key))
	b.round(c, s)
	c.Check(first.Result().State, qt.Equals, Won)
	b.clock.Advance(2 * time.Minute)
	other := s.Submit(b.claim(keyAt(b.clock.Now(), 2)))
	b.round(c, s)
	c.Check(other.Result().State, qt.Equals, Won)
	c.Check(s.Stats().Keys, qt.Equals, 1)
	late := s.Submit(b.claim(key))
	b.round(c, s)
	c.Check(late.Result().State, qt.Equals, KeyTooOld)
}

func TestReplayStartsWithinTheWindow(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	s := b.open(c)
	for i := range 200 {
		s.Submit(b.claim(keyAt(b.clock.Now(), byte(i))))
		b.round(c, s)
		b.clock.Advance(5 * time.Second)
	}
	held := s.Submit(b.claim(keyAt(b.clock.Now(), 201)))
	b.round(c, s)
	c.Check(held.Result().State, qt.Equals, Won)
	next := b.open(c)
	c.Check(next.Stats().Replayed < 50, qt.IsTrue, qt.Commentf("%d", next.Stats().Replayed))
	c.Check(next.Submit(b.claim(held.claim.Key)).Result().State, qt.Equals, InProgress)
}

func TestClaimsAreRefusedWhenEarlierOnesMayHaveExpired(t *testing.T) {
	c := qt.New(t)
	b := newBench(time.Second)
	s := b.open(c)
	key := keyAt(b.clock.Now(), 1)
	c.Check(s.Submit(b.claim(key)).Result().State, qt.Equals, Unsettled)
	b.round(c, s)
	b.clock.Advance(5 * time.Second)
	restarted := b.open(c)
	again := restarted.Submit(b.claim(key))
	b.round(c, restarted)
	c.Check(again.Result().State, qt.Equals, KeyTooOld)
	b.clock.Advance(time.Millisecond)
	fresh := restarted.Submit(b.claim(keyAt(b.clock.Now(), 2)))
	b.round(c, restarted)
	c.Check(fresh.Result().State, qt.Equals, Won)
}

func TestAttemptGivenUpIsNeverDispatched(t *testing.T) {
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

func TestRepeatGetsTheAnswerBeforeItIsInTheLog(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	s := b.open(c)
	key := keyAt(b.clock.Now(), 1)
	claim := b.claim(key)
	s.Submit(claim)
	b.round(c, s)
	c.Check(s.Submit(b.claim(key)).Result().State, qt.Equals, InProgress)
	s.RecordOutcome(Outcome{Key: key, Attempt: claim.Attempt, Run: outcome.RunDone, Response: &StoredResponse{Status: 200, Body: []byte("booked")}})
	again := s.Submit(b.claim(key)).Result()
	c.Assert(again.State, qt.Equals, Done)
	c.Check(string(again.Response.Body), qt.Equals, "booked")
}
