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

// mutation is a safety mechanism that is disabled on purpose.
type mutation int

const (
	noMutation          mutation = iota
	skipReplay                   // a restarted router does not read earlier claims
	ignoreAge                    // keys older than the window are not refused
	dispatchInProgress           // an attempt is dispatched though another holds the key
	treatLostReplyAsWon          // an append without reply counts as won
	reopenClaims                 // a claimed key can be claimed again
)

// submittedAttempt is one attempt of a simulated caller.
type submittedAttempt struct {
	attempt    *Attempt
	ticket     *Ticket
	router     int
	dispatched bool
}

// simulation simulates several routers that append to one shard.
type simulation struct {
	*testLog
	t        *rapid.T
	mutation mutation
	routers  []*Shard
	attempts []*submittedAttempt
	keys     []Key
	ran      map[Key][]time.Time // dispatches
}

const simulatedRouters = 3

func newSimulation(t *rapid.T, variant mutation) *simulation {
	b := newTestLog(3 * time.Minute)
	b.opt.Checker = invariant.New(b.opt.Logger)
	m := &simulation{testLog: b, t: t, mutation: variant, ran: make(map[Key][]time.Time)}
	for range simulatedRouters {
		m.routers = append(m.routers, NewShard(b.opt, 0))
	}
	return m
}

func (m *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask":     m.submit,
		"askMore": m.submit,
		"flush":   func(t *rapid.T) { m.flush(m.router(t)) },
		"tail":    func(t *rapid.T) { m.tail(m.router(t)) },
		"work":    m.workAll,
		"settle":  m.dispatch,
		"abandon": m.abandon,
		"restart": m.restart,
		"fault":   m.fault,
		"wait":    m.wait,
		"":        m.check,
	}
}

func (m *simulation) router(t *rapid.T) int {
	return rapid.IntRange(0, simulatedRouters-1).Draw(t, "router")
}

// submit submits a claim for a new key or for one that was used before.
func (m *simulation) submit(t *rapid.T) {
	n := rapid.IntRange(0, 5).Draw(t, "key")
	if n == 0 || len(m.keys) == 0 {
		key := keyAt(m.clock.Now(), byte(len(m.keys)))
		if rapid.Bool().Draw(t, "any") {
			key = Key(fmt.Sprintf("%sws/%d", anyPrefix, len(m.keys)))
		}
		m.keys = append(m.keys, key)
	}
	key := m.keys[max(0, len(m.keys)-max(1, n))]
	router := m.router(t)
	claim := m.claim(key)
	dispatchBy := m.clock.Now().Add(m.opt.Window / 4)
	m.attempts = append(m.attempts, &submittedAttempt{
		attempt: NewAttempt(claim.Attempt, dispatchBy), ticket: m.routers[router].Submit(claim), router: router,
	})
}

func (m *simulation) flush(router int) {
	s := m.routers[router]
	sent := append([]*pendingRecord(nil), s.queue...)
	_, err := s.Flush(context.Background())
	m.clock.Advance(time.Millisecond)
	if m.mutation == treatLostReplyAsWon && platformclient.MayHaveAppended(err) {
		for _, w := range sent {
			if w.ticket != nil && w.ticket.Result().State == Unsettled {
				w.ticket.resolve(Result{State: Won})
				delete(s.waiters, w.record.Attempt)
			}
		}
	}
}

func (m *simulation) tail(router int) {
	s := m.routers[router]
	if m.mutation == skipReplay && s.fold == nil {
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
	if m.mutation == ignoreAge {
		s.fold.floor = time.Time{}
		s.fold.since = time.Time{}
	}
	if m.mutation == reopenClaims {
		for _, e := range s.fold.keys {
			e.held = false
		}
	}
	m.clock.Advance(time.Millisecond)
}

// workAll makes every router append and read.
func (m *simulation) workAll(*rapid.T) {
	for i := range m.routers {
		m.flush(i)
		m.tail(i)
	}
}

// dispatch dispatches the attempts whose claims have won and records their
// outcomes.
func (m *simulation) dispatch(t *rapid.T) {
	for _, one := range m.attempts {
		result := one.ticket.Result()
		if one.dispatched || result.State == Unsettled {
			continue
		}
		one.dispatched = true
		if m.mutation == dispatchInProgress && result.State == InProgress {
			result.State = Won
		}
		m.checkRefusal(one, result)
		if one.attempt.ApplyClaimResult(result) && one.attempt.Dispatch(m.clock.Now()) {
			key := one.ticket.claim.Key
			m.ran[key] = append(m.ran[key], m.clock.Now())
		}
		m.finish(t, one, result)
	}
	m.attempts = nil
}

func (m *simulation) finish(t *rapid.T, one *submittedAttempt, result Result) {
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

// checkRefusal checks that no request with the key ran if a refusal says so.
func (m *simulation) checkRefusal(one *submittedAttempt, result Result) {
	refusal := result.Refusal()
	key := one.ticket.claim.Key
	if refusal != nil && refusal.Run == outcome.RunNot && len(m.ran[key]) > 0 {
		m.t.Fatalf("key %s was refused as not run in state %v, but ran", key, result.State)
	}
}

func (m *simulation) abandon(t *rapid.T) {
	for _, one := range m.attempts {
		if one.ticket.Result().State == Unsettled {
			if !one.attempt.Abandon() {
				t.Fatalf("an attempt without a claim result was dispatched")
			}
			m.routers[one.router].Abandon(one.ticket)
			return
		}
	}
}

func (m *simulation) restart(t *rapid.T) {
	router := m.router(t)
	m.routers[router] = NewShard(m.opt, 0)
	kept := m.attempts[:0]
	for _, one := range m.attempts {
		if one.router != router {
			kept = append(kept, one)
		}
	}
	m.attempts = kept
}

func (m *simulation) fault(t *rapid.T) {
	name := rapid.SampledFrom([]fault.Name{fault.Outage, fault.LostReply, fault.LostReply}).Draw(t, "fault")
	if err := m.log.Faults().On(fault.Fault{Name: name, Count: rapid.IntRange(1, 3).Draw(t, "times")}); err != nil {
		t.Fatal(err)
	}
}

func (m *simulation) wait(t *rapid.T) {
	waits := []time.Duration{time.Second, 20 * time.Second, 50 * time.Second, 4 * time.Minute}
	m.clock.Advance(rapid.SampledFrom(waits).Draw(t, "time"))
}

// check checks that no key was dispatched twice: ever if it contains a time,
// within the window otherwise.
func (m *simulation) check(t *rapid.T) {
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
		t.Fatalf("%d invariant violations: %v", n, m.opt.Checker.Violations())
	}
}

func TestAtMostOnceWithRacesOutagesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(t, noMutation)
		t.Repeat(m.actions())
	})
}

// failureRecorder stands in for a test that is expected to fail and records the
// failure.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (v *failureRecorder) Errorf(string, ...any) { v.failed = true }
func (v *failureRecorder) Error(...any)          { v.failed = true }
func (v *failureRecorder) Fatalf(string, ...any) { v.failed = true }
func (v *failureRecorder) Fatal(...any)          { v.failed = true }
func (v *failureRecorder) Fail()                 { v.failed = true }
func (v *failureRecorder) FailNow()              { v.failed = true }
func (v *failureRecorder) Logf(string, ...any)   {}
func (v *failureRecorder) Log(...any)            {}

// TestAtMostOnceFailsWithADisabledMechanism checks that the property test fails
// while any one of the mechanisms is disabled.
func TestAtMostOnceFailsWithADisabledMechanism(t *testing.T) {
	names := map[mutation]string{
		skipReplay: "skip replay", ignoreAge: "ignore age", dispatchInProgress: "dispatch in progress",
		treatLostReplyAsWon: "treat lost reply as won", reopenClaims: "reopen claims",
	}
	for variant := skipReplay; variant <= reopenClaims; variant++ {
		t.Run(names[variant], func(t *testing.T) {
			shrink := flag.Lookup("rapid.shrinktime").Value
			previous := shrink.String()
			qt.Assert(t, shrink.Set("0s"), qt.IsNil)
			defer func() { _ = shrink.Set(previous) }()
			v := &failureRecorder{T: t}
			rapid.Check(v, func(t *rapid.T) {
				m := newSimulation(t, variant)
				t.Repeat(m.actions())
			})
			qt.Check(t, v.failed, qt.IsTrue)
		})
	}
}

func TestDuplicateWinnerIsReportedAndNotDispatched(t *testing.T) {
	c := qt.New(t)
	b := newTestLog(0)
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
