package ledger

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/logstore"
)

// TestSetServesRepeatsAtTwoRouters runs the loops of two routers in real time.
func TestSetServesRepeatsAtTwoRouters(t *testing.T) {
	c := qt.New(t)
	log := logstore.NewMemory(logstore.Options{})
	opt := Options{Log: log, Clock: clockwork.NewRealClock(), Logger: logr.Discard(), FlushEvery: time.Millisecond}
	s1, s2 := NewSet(opt), NewSet(opt)
	defer s1.Close()
	defer s2.Close()
	s1.SetOwned([]int{0})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	key := keyAt(time.Now(), 1)
	c.Assert(log.Faults().On(fault.Fault{Name: fault.LostReply, Count: 1}), qt.IsNil)
	first := Claim{Key: key, Attempt: AttemptID{High: 1}, Fingerprint: 1, MaxDuration: time.Minute}
	c.Assert(s1.Claim(ctx, 0, first).State, qt.Equals, Won)
	second := Claim{Key: key, Attempt: AttemptID{High: 2}, Fingerprint: 1, MaxDuration: time.Minute}
	c.Check(s2.Claim(ctx, 0, second).State, qt.Equals, InProgress)
	s1.RecordOutcome(0, Outcome{Key: key, Attempt: first.Attempt, Run: outcome.RunDone, Response: &StoredResponse{Status: 200, Body: []byte("ok")}})
	for {
		third := Claim{Key: key, Attempt: AttemptID{High: 3}, Fingerprint: 1, MaxDuration: time.Minute}
		r := s2.Claim(ctx, 0, third)
		if r.State == Done {
			c.Check(string(r.Response.Body), qt.Equals, "ok")
			break
		}
		c.Assert(r.State, qt.Equals, InProgress)
		time.Sleep(time.Millisecond)
	}
}

func TestClaimDuringAnOutageIsNotWonAndMayBeTriedAgain(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	quiet := false
	b.opt.SoleAppender = func(int, time.Time) bool { return quiet }
	s := b.open(c)
	c.Assert(b.log.Faults().On(fault.Fault{Name: fault.Outage}), qt.IsNil)
	key := keyAt(b.clock.Now(), 1)
	ticket := s.Submit(b.claim(key))
	_, err := s.Flush(context.Background())
	c.Assert(err, qt.IsNotNil)
	r := s.Abandon(ticket)
	c.Check(r.State, qt.Equals, LogUnavailable)
	c.Check(r.Refusal().Run, qt.Equals, outcome.RunUnknown)
	quiet = true
	second := s.Submit(b.claim(key))
	r = s.Abandon(second)
	c.Check(r.Refusal().Run, qt.Equals, outcome.RunNot)
	b.log.Faults().Clear()
	third := s.Submit(b.claim(key))
	b.round(c, s)
	c.Check(third.Result().State, qt.Equals, Won)
}
