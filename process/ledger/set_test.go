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

// Two routers run their background loops in real time while the log loses a
// reply: a retry at the second router gets the stored response of the first.
func TestSetServesRetriesAtTwoRouters(t *testing.T) {
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

func TestClaimDuringAnOutageIsNotWonAndMayBeRetried(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	s := l.open(c)
	c.Assert(l.log.Faults().On(fault.Fault{Name: fault.Outage}), qt.IsNil)
	key := keyAt(l.clock.Now(), 1)
	pending := s.Submit(l.claim(key))
	_, err := s.Flush(context.Background())
	c.Assert(err, qt.IsNotNil)
	r := s.Abandon(pending)
	c.Check(r.State, qt.Equals, LogUnavailable)
	c.Check(r.Refusal().Run, qt.Equals, outcome.RunUnknown)
	second := s.Submit(l.claim(key))
	r = s.Abandon(second)
	c.Check(r.Refusal().Run, qt.Equals, outcome.RunUnknown)
	l.log.Faults().Clear()
	third := s.Submit(l.claim(key))
	l.round(c, s)
	c.Check(third.Result().State, qt.Equals, Won)
}
