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

// mutation is a fault put in on purpose: it disables one safety mechanism.
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
	pending    *PendingClaim
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
	l := newTestLog(3 * time.Minute)
	l.opt.Checker = invariant.New(l.opt.Logger)
	sim := &simulation{testLog: l, t: t, mutation: variant, ran: make(map[Key][]time.Time)}
	for range simulatedRouters {
		sim.routers = append(sim.routers, NewShard(l.opt, 0))
	}
	return sim
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask":     sim.submit,
		"askMore": sim.submit,
		"flush":   func(t *rapid.T) { sim.flush(sim.router(t)) },
		"tail":    func(t *rapid.T) { sim.tail(sim.router(t)) },
		"work":    sim.workAll,
		"settle":  sim.dispatch,
		"abandon": sim.abandon,
		"restart": sim.restart,
		"fault":   sim.fault,
		"wait":    sim.wait,
		"":        sim.check,
	}
}

func (sim *simulation) router(t *rapid.T) int {
	return rapid.IntRange(0, simulatedRouters-1).Draw(t, "router")
}

// submit submits a claim for a new key or for one that was used before.
func (sim *simulation) submit(t *rapid.T) {
	n := rapid.IntRange(0, 5).Draw(t, "key")
	if n == 0 || len(sim.keys) == 0 {
		key := keyAt(sim.clock.Now(), byte(len(sim.keys)))
		if rapid.Bool().Draw(t, "any") {
			key = Key(fmt.Sprintf("%sws/%d", anyPrefix, len(sim.keys)))
		}
		sim.keys = append(sim.keys, key)
	}
	key := sim.keys[max(0, len(sim.keys)-max(1, n))]
	router := sim.router(t)
	claim := sim.claim(key)
	dispatchBy := sim.clock.Now().Add(sim.opt.Window / 4)
	sim.attempts = append(sim.attempts, &submittedAttempt{
		attempt: NewAttempt(claim.Attempt, dispatchBy), pending: sim.routers[router].Submit(claim), router: router,
	})
}

func (sim *simulation) flush(router int) {
	s := sim.routers[router]
	sent := append([]*pendingRecord(nil), s.queue...)
	_, err := s.Flush(context.Background())
	sim.clock.Advance(time.Millisecond)
	if sim.mutation == treatLostReplyAsWon && platformclient.MayHaveAppended(err) {
		for _, w := range sent {
			if w.claim != nil && w.claim.Result().State == Unsettled {
				w.claim.resolve(Result{State: Won})
				delete(s.waiters, w.record.Attempt)
			}
		}
	}
}

func (sim *simulation) tail(router int) {
	s := sim.routers[router]
	if sim.mutation == skipReplay && s.fold == nil {
		page, err := sim.log.Read(context.Background(), Stream(0), 1, 1, 0)
		if err == nil || page.End > 0 {
			s.fold = NewFold(page.End, sim.opt.Window, sim.opt.ResponseBytes)
			s.fold.now = sim.clock.Now()
		}
	}
	_ = s.Tail(context.Background(), 0)
	if s.fold == nil {
		return
	}
	if sim.mutation == ignoreAge {
		s.fold.floor = time.Time{}
		s.fold.since = time.Time{}
	}
	if sim.mutation == reopenClaims {
		for _, e := range s.fold.keys {
			e.held = false
		}
	}
	sim.clock.Advance(time.Millisecond)
}

// workAll makes every router append and read.
func (sim *simulation) workAll(*rapid.T) {
	for i := range sim.routers {
		sim.flush(i)
		sim.tail(i)
	}
}

// dispatch dispatches the attempts whose claims have won, records their outcomes and
// drops all attempts, also the unsettled ones.
func (sim *simulation) dispatch(t *rapid.T) {
	for _, one := range sim.attempts {
		result := one.pending.Result()
		if one.dispatched || result.State == Unsettled {
			continue
		}
		one.dispatched = true
		if sim.mutation == dispatchInProgress && result.State == InProgress {
			result.State = Won
		}
		sim.checkRefusal(one, result)
		if one.attempt.ApplyClaimResult(result) && one.attempt.Dispatch(sim.clock.Now()) {
			key := one.pending.claim.Key
			sim.ran[key] = append(sim.ran[key], sim.clock.Now())
		}
		sim.recordOutcome(t, one, result)
	}
	sim.attempts = nil
}

func (sim *simulation) recordOutcome(t *rapid.T, one *submittedAttempt, result Result) {
	if result.State != Won {
		return
	}
	run := outcome.RunNot
	if !one.attempt.Abandon() {
		run = rapid.SampledFrom([]outcome.Run{outcome.RunDone, outcome.RunUnknown}).Draw(t, "run")
	}
	if rapid.IntRange(0, 3).Draw(t, "told") > 0 {
		sim.routers[sim.router(t)].RecordOutcome(Outcome{Key: one.pending.claim.Key, Attempt: one.attempt.ID, Run: run})
	}
}

// checkRefusal checks that no request with the key ran if a refusal says so.
func (sim *simulation) checkRefusal(one *submittedAttempt, result Result) {
	refusal := result.Refusal()
	key := one.pending.claim.Key
	if refusal != nil && refusal.Run == outcome.RunNot && len(sim.ran[key]) > 0 {
		sim.t.Fatalf("key %s was refused as not run in state %v, but ran", key, result.State)
	}
}

func (sim *simulation) abandon(t *rapid.T) {
	for _, one := range sim.attempts {
		if one.pending.Result().State == Unsettled {
			if !one.attempt.Abandon() {
				t.Fatalf("an attempt without a claim result was dispatched")
			}
			sim.routers[one.router].Abandon(one.pending)
			return
		}
	}
}

func (sim *simulation) restart(t *rapid.T) {
	router := sim.router(t)
	sim.routers[router] = NewShard(sim.opt, 0)
	kept := sim.attempts[:0]
	for _, one := range sim.attempts {
		if one.router != router {
			kept = append(kept, one)
		}
	}
	sim.attempts = kept
}

func (sim *simulation) fault(t *rapid.T) {
	name := rapid.SampledFrom([]fault.Name{fault.Outage, fault.LostReply, fault.LostReply}).Draw(t, "fault")
	if err := sim.log.Faults().On(fault.Fault{Name: name, Count: rapid.IntRange(1, 3).Draw(t, "times")}); err != nil {
		t.Fatal(err)
	}
}

func (sim *simulation) wait(t *rapid.T) {
	waits := []time.Duration{time.Second, 20 * time.Second, 50 * time.Second, 4 * time.Minute}
	sim.clock.Advance(rapid.SampledFrom(waits).Draw(t, "time"))
}

// check checks that no key was dispatched twice: ever if it contains a time,
// within half of the window otherwise.
func (sim *simulation) check(t *rapid.T) {
	for _, key := range sim.keys {
		times := sim.ran[key]
		_, timed := key.Created()
		for i := 1; i < len(times); i++ {
			if timed || times[i].Sub(times[i-1]) < sim.opt.Window/2 {
				t.Fatalf("key %s was dispatched at %v", key, times)
			}
		}
	}
	if n := sim.opt.Checker.Total(); n > 0 {
		t.Fatalf("%d invariant violations: %v", n, sim.opt.Checker.Violations())
	}
}

func TestAtMostOnceWithRacesOutagesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, noMutation)
		t.Repeat(sim.actions())
	})
}

// failureRecorder stands in for a test that is expected to fail and records the failure.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fatalf(string, ...any) { r.failed = true }
func (r *failureRecorder) Fatal(...any)          { r.failed = true }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) FailNow()              { r.failed = true }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}

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
			r := &failureRecorder{T: t}
			rapid.Check(r, func(t *rapid.T) {
				sim := newSimulation(t, variant)
				t.Repeat(sim.actions())
			})
			qt.Check(t, r.failed, qt.IsTrue)
		})
	}
}

func TestDuplicateWinnerIsReportedAndNotDispatched(t *testing.T) {
	c := qt.New(t)
	l := newTestLog(0)
	l.opt.Checker = invariant.New(l.opt.Logger)
	s := l.open(c)
	key := keyAt(l.clock.Now(), 1)
	s.Submit(l.claim(key))
	l.round(c, s)
	second := s.Submit(l.claim(keyAt(l.clock.Now(), 2)))
	second.claim.Key = key
	s.queue[len(s.queue)-1].record.Key = key
	s.fold.keys[key].held = false
	l.round(c, s)
	c.Check(l.opt.Checker.Count(invariant.AtMostOnce), qt.Equals, int64(1))
	c.Check(second.Result().State, qt.Equals, Lost)
}
