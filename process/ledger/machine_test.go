package ledger

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// sabotage breaks one mechanism on purpose.
type sabotage int

const (
	nothingBroken    sabotage = iota
	skipReplay                // a restarted router does not read earlier claims
	ignoreAge                 // keys older than the window are not refused
	takeInProgress            // an attempt is dispatched though another holds the key
	retryLostReplies          // an append without reply counts as won
	openClaims                // a held key can be claimed again
)

// try is one attempt of the model's callers.
type try struct {
	attempt *Attempt
	ticket  *Ticket
	router  int
	settled bool
}

// machine runs several routers that append to one shard.
type machine struct {
	*bench
	t       *rapid.T
	broken  sabotage
	routers []*Shard
	tries   []*try
	keys    []Key
	ran     map[Key][]time.Time // dispatches
}

const machineRouters = 3

func newMachine(t *rapid.T, broken sabotage) *machine {
	b := newBench(3 * time.Minute)
	b.opt.Checker = invariant.New(b.opt.Logger)
	m := &machine{bench: b, t: t, broken: broken, ran: make(map[Key][]time.Time)}
	for range machineRouters {
		m.routers = append(m.routers, NewShard(b.opt, 0))
	}
	return m
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask":     m.ask,
		"askMore": m.ask,
		"flush":   func(t *rapid.T) { m.flush(m.router(t)) },
		"tail":    func(t *rapid.T) { m.tail(m.router(t)) },
		"work":    m.work,
		"settle":  m.settle,
		"abandon": m.abandon,
		"restart": m.restart,
		"fault":   m.fault,
		"wait":    m.wait,
		"":        m.check,
	}
}

func (m *machine) router(t *rapid.T) int {
	return rapid.IntRange(0, machineRouters-1).Draw(t, "router")
}

// ask sends a request with a new key or one that was used before.
func (m *machine) ask(t *rapid.T) {
	n := rapid.IntRange(0, 5).Draw(t, "key")
	if n == 0 || len(m.keys) == 0 {
		key := keyAt(m.clock.Now(), byte(len(m.keys)))
		if rapid.Bool().Draw(t, "any") {
			key = Key(fmt.Sprintf("%sws/%d", formAny, len(m.keys)))
		}
		m.keys = append(m.keys, key)
	}
	key := m.keys[max(0, len(m.keys)-max(1, n))]
	router := m.router(t)
	claim := m.claim(key)
	dispatchBy := m.clock.Now().Add(m.opt.Window / 4)
	m.tries = append(m.tries, &try{
		attempt: NewAttempt(claim.Attempt, dispatchBy), ticket: m.routers[router].Submit(claim), router: router,
	})
}

func (m *machine) flush(router int) {
	s := m.routers[router]
	sent := append([]*waiting(nil), s.queue...)
	_, err := s.Flush(context.Background())
	m.clock.Advance(time.Millisecond)
	if m.broken == retryLostReplies && platformclient.MayHaveAppended(err) {
		for _, w := range sent {
			if w.ticket != nil && w.ticket.Result().State == Unsettled {
				w.ticket.settle(Result{State: Won})
				delete(s.waiters, w.record.Attempt)
			}
		}
	}
}

func (m *machine) tail(router int) {
	s := m.routers[router]
	if m.broken == skipReplay && s.fold == nil {
		page, err := m.log.Read(context.Background(), Stream(0), 1, 1, 0)
		if err == nil || page.End > 0 {
			s.fold = NewFold(page.End, m.opt.Window, m.opt.ResponseBytes)
			s.fold.now = m.clock.Now()
		}
	}
	_ = s.Tail(context.Background(), 0)
	if s.fold == nil {
		return
	}
	if m.broken == ignoreAge {
		s.fold.floor = time.Time{}
		s.fold.since = time.Time{}
	}
	if m.broken == openClaims {
		for _, e := range s.fold.keys {
			e.held = false
		}
	}
	m.clock.Advance(time.Millisecond)
}

// work lets every router append and read.
func (m *machine) work(*rapid.T) {
	for i := range m.routers {
		m.flush(i)
		m.tail(i)
	}
}

// settle lets all attempts with a result go on: dispatch, and tell the outcome.
func (m *machine) settle(t *rapid.T) {
	for _, one := range m.tries {
		result := one.ticket.Result()
		if one.settled || result.State == Unsettled {
			continue
		}
		one.settled = true
		if m.broken == takeInProgress && result.State == InProgress {
			result.State = Won
		}
		m.checkRefusal(one, result)
		if one.attempt.ApplyClaimResult(result) && one.attempt.Dispatch(m.clock.Now()) {
			key := one.ticket.claim.Key
			m.ran[key] = append(m.ran[key], m.clock.Now())
		}
		m.finish(t, one, result)
	}
	m.tries = nil
}

func (m *machine) finish(t *rapid.T, one *try, result Result) {
	if result.State != Won {
		return
	}
	run := outcome.RunNot
	if !one.attempt.Abandon() {
		run = rapid.SampledFrom([]outcome.Run{outcome.RunDone, outcome.RunUnknown}).Draw(t, "run")
	}
	if rapid.IntRange(0, 3).Draw(t, "told") > 0 {
		m.routers[m.router(t)].RecordOutcome(Outcome{Key: one.ticket.claim.Key, Attempt: one.attempt.ID, Run: run})
	}
}

// checkRefusal checks that a refusal that says not run is true.
func (m *machine) checkRefusal(one *try, result Result) {
	refusal := result.Refusal()
	key := one.ticket.claim.Key
	if refusal != nil && refusal.Run == outcome.RunNot && len(m.ran[key]) > 0 {
		m.t.Fatalf("key %s was refused as not run with %v, but ran", key, result.State)
	}
}

func (m *machine) abandon(t *rapid.T) {
	for _, one := range m.tries {
		if one.ticket.Result().State == Unsettled {
			if !one.attempt.Abandon() {
				t.Fatalf("an attempt without result was dispatched")
			}
			m.routers[one.router].Abandon(one.ticket)
			return
		}
	}
}

func (m *machine) restart(t *rapid.T) {
	router := m.router(t)
	m.routers[router] = NewShard(m.opt, 0)
	kept := m.tries[:0]
	for _, one := range m.tries {
		if one.router != router {
			kept = append(kept, one)
		}
	}
	m.tries = kept
}

func (m *machine) fault(t *rapid.T) {
	name := rapid.SampledFrom([]fault.Name{fault.Outage, fault.LostReply, fault.LostReply}).Draw(t, "fault")
	if err := m.log.Faults().On(fault.Fault{Name: name, Count: rapid.IntRange(1, 3).Draw(t, "times")}); err != nil {
		t.Fatal(err)
	}
}

func (m *machine) wait(t *rapid.T) {
	waits := []time.Duration{time.Second, 20 * time.Second, 50 * time.Second, 4 * time.Minute}
	m.clock.Advance(rapid.SampledFrom(waits).Draw(t, "time"))
}

// check checks that no key was dispatched twice: ever if it has a time, within
// the window otherwise.
func (m *machine) check(t *rapid.T) {
	for _, key := range m.keys {
		times := m.ran[key]
		_, timed := key.Created()
		for i := 1; i < len(times); i++ {
			if timed || times[i].Sub(times[i-1]) < m.opt.Window/2 {
				t.Fatalf("key %s was dispatched at %v", key, times)
			}
		}
	}
	if n := m.opt.Checker.Total(); n > 0 {
		t.Fatalf("%d invariants violated: %v", n, m.opt.Checker.Violations())
	}
}

func TestAtMostOnceWithRacesOutagesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, nothingBroken)
		t.Repeat(m.actions())
	})
}

// verdict takes the place of a test that is to fail.
type verdict struct {
	*testing.T
	failed bool
}

func (v *verdict) Errorf(string, ...any) { v.failed = true }
func (v *verdict) Error(...any)          { v.failed = true }
func (v *verdict) Fatalf(string, ...any) { v.failed = true }
func (v *verdict) Fatal(...any)          { v.failed = true }
func (v *verdict) Fail()                 { v.failed = true }
func (v *verdict) FailNow()              { v.failed = true }
func (v *verdict) Logf(string, ...any)   {}
func (v *verdict) Log(...any)            {}

// TestAtMostOnceFailsWhenAMechanismIsBroken shows that the state machine finds
// each broken mechanism.
func TestAtMostOnceFailsWhenAMechanismIsBroken(t *testing.T) {
	names := map[sabotage]string{
		skipReplay: "skip replay", ignoreAge: "ignore age", takeInProgress: "take in progress",
		retryLostReplies: "trust lost replies", openClaims: "open claims",
	}
	for broken := skipReplay; broken <= openClaims; broken++ {
		t.Run(names[broken], func(t *testing.T) {
			shrink := flag.Lookup("rapid.shrinktime").Value
			usual := shrink.String()
			qt.Assert(t, shrink.Set("0s"), qt.IsNil)
			defer func() { _ = shrink.Set(usual) }()
			v := &verdict{T: t}
			rapid.Check(v, func(t *rapid.T) {
				m := newMachine(t, broken)
				t.Repeat(m.actions())
			})
			qt.Check(t, v.failed, qt.IsTrue)
		})
	}
}

func TestSecondWinnerIsReportedAndNotDispatched(t *testing.T) {
	c := qt.New(t)
	b := newBench(0)
	b.opt.Checker = invariant.New(b.opt.Logger)
	s := b.open(c)
	key := keyAt(b.clock.Now(), 1)
	s.Submit(b.claim(key))
	b.round(c, s)
	second := s.Submit(b.claim(keyAt(b.clock.Now(), 2)))
	second.claim.Key = key
	s.queue[len(s.queue)-1].record.Key = key
	s.fold.keys[key].held = false
	b.round(c, s)
	c.Check(b.opt.Checker.Count(invariant.AtMostOnce), qt.Equals, int64(1))
	c.Check(second.Result().State, qt.Equals, Lost)
}
