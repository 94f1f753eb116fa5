package histories

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// request is a caller's non-idempotent request with one or more attempts.
type request struct {
	key        ledger.Key
	executions int
	// notRunAt is when an appender last decided that no attempt had run.
	notRunAt time.Time
}

// claimResult is the ledger's result for a claim, with the time of the decision.
type claimResult struct {
	ledger.Result
	at         time.Time // of the decision
	executions int       // of the request until then
}

// newRequest returns a request whose key, a UUIDv7, has the current time.
func (h *history) newRequest() *request {
	var id uuid.UUID
	ms := h.fleet.Now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(h.rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	r := &request{key: ledger.Key("u/ws/" + id.String())}
	h.requests = append(h.requests, r)
	return r
}

// sendBooking sends a new or an earlier non-idempotent request to one or two
// routers at once.
func (h *history) sendBooking() {
	var r *request
	if len(h.requests) > 0 && h.rng.IntN(2) == 0 {
		r = h.requests[max(0, len(h.requests)-1-h.rng.IntN(6))]
		h.counts.Repeats++
	} else {
		r = h.newRequest()
	}
	for range 1 + h.rng.IntN(2) {
		h.handleBooking(h.randomRouter(), r)
	}
}

// handleBooking handles a request at its entry router.
func (h *history) handleBooking(entry *sim.Router, r *request) {
	if !entry.Up || entry.Paused {
		return
	}
	h.counts.Claims++
	proc := h.processes[entry]
	claim := ledger.Claim{
		Key: r.key, Attempt: ledger.NewAttemptID(h.rng), Fingerprint: 1, MaxDuration: ledgerWindow / 4,
	}
	attempt := ledger.NewAttempt(claim.Attempt, h.fleet.Now.Add(ledgerWindow/4))
	handle := func(c claimResult) { h.handleClaimResult(proc, r, attempt, c) }
	shard := r.key.Shard(shards)
	if appender := h.appenderOf(proc, shard); appender != nil {
		h.fleet.Send(entry, appender, func() { h.submitClaim(appender, entry, r, claim, handle) })
	}
	h.fleet.Do(entry, entryTimeout, func() { handle(claimResult{Result: ledger.Result{State: ledger.LogUnavailable}}) })
}

// appenderOf returns the appender of a shard as proc sees it.
func (h *history) appenderOf(proc *process, shard int) *sim.Router {
	appender, ok := proc.table.OwnerFor(h.fleet.Now, member.DutyLedger, fmt.Sprint(shard))
	if !ok {
		return nil
	}
	return h.fleet.Find(appender.Name)
}

// submitClaim submits a claim to the appender.
func (h *history) submitClaim(appender, entry *sim.Router, r *request, claim ledger.Claim, handle func(claimResult)) {
	h.syncClock()
	proc := h.processes[appender]
	shard := r.key.Shard(shards)
	proc.claims = append(proc.claims, pendingClaim{
		PendingClaim: proc.shards[shard].Submit(claim), shard: proc.shards[shard], since: h.fleet.Now,
		reply: func(result ledger.Result) {
			c := claimResult{Result: result, at: h.fleet.Now, executions: r.executions}
			if refusal := result.Refusal(); refusal != nil && refusal.Run == outcome.RunNot {
				r.notRunAt = h.fleet.Now
			}
			h.fleet.Send(appender, entry, func() { handle(c) })
		},
	})
}

// serveLedger appends, reads, and replies to claims that are settled or timed out.
func (h *history) serveLedger(proc *process) {
	ctx := context.Background()
	for _, s := range proc.shards {
		_, _ = s.Flush(ctx)
		_ = s.Tail(ctx, 0)
	}
	pending := proc.claims[:0]
	for _, c := range proc.claims {
		result := c.Result()
		if result.State == ledger.Unsettled && h.fleet.Now.Sub(c.since) > claimTimeout {
			result = c.shard.Abandon(c.PendingClaim)
		}
		if result.State == ledger.Unsettled {
			pending = append(pending, c)
			continue
		}
		c.reply(result)
	}
	proc.claims = pending
}

// handleClaimResult handles the result of a claim at the entry router and dispatches
// the request if the claim won.
func (h *history) handleClaimResult(proc *process, r *request, attempt *ledger.Attempt, c claimResult) {
	result := c.Result
	if attempt.Dispatched() || attempt.Abandoned() {
		return
	}
	h.checkResult(r, c)
	if h.mutation == dispatchWithoutClaim && result.State == ledger.InProgress {
		result = ledger.Result{State: ledger.Won}
	}
	if !attempt.ApplyClaimResult(result) {
		return
	}
	if !h.mayServe(proc) || !attempt.Dispatch(h.fleet.Now) {
		attempt.Abandon()
		h.reportOutcome(proc, r, attempt, outcome.RunNot)
		return
	}
	h.checkDispatch(proc)
	r.executions++
	h.counts.Ran++
	if c.at.Before(r.notRunAt) {
		h.addViolation("not run is true", "key %s won before a refusal said not run, and ran after it", r.key)
	}
	if r.executions > 1 {
		h.addViolation("at most once", "key %s ran %d times", r.key, r.executions)
	}
	h.fleet.Do(proc.router, time.Duration(h.rng.IntN(1500))*time.Millisecond, func() {
		h.reportOutcome(proc, r, attempt, outcome.RunDone)
	})
}

// checkResult checks the result that the caller gets against the executions. A
// reply may arrive late, so "not run" is checked against those until the decision.
func (h *history) checkResult(r *request, c claimResult) {
	result := c.Result
	refusal := result.Refusal()
	if h.mutation == refuseAsNotRun && refusal != nil {
		refusal.Run = outcome.RunNot
	}
	switch {
	case result.State == ledger.Done && r.executions == 0:
		h.addViolation("answer matches request", "key %s is reported as done, but never ran", r.key)
	case result.State == ledger.Done && result.Response != nil:
		h.counts.StoredAnswers++
		if string(result.Response.Body) != string(r.key) {
			h.addViolation("answer matches request", "key %s got %q", r.key, result.Response.Body)
		}
	case refusal == nil:
	case refusal.Run == outcome.RunNot:
		h.counts.RefusedNotRun++
		if c.executions > 0 {
			h.addViolation("not run is true", "key %s ran %d times, refused with %s", r.key, c.executions, result.State)
		}
	default:
		h.counts.RefusedUnknown++
	}
}

// reportOutcome sends the outcome of an attempt to the appender.
func (h *history) reportOutcome(proc *process, r *request, attempt *ledger.Attempt, run outcome.Run) {
	shard := r.key.Shard(shards)
	appender := h.appenderOf(proc, shard)
	if appender == nil {
		return
	}
	reported := ledger.Outcome{Key: r.key, Attempt: attempt.ID, Run: run}
	if run == outcome.RunDone {
		reported.Response = &ledger.StoredResponse{Status: 200, Body: []byte(r.key)}
	}
	h.fleet.Send(proc.router, appender, func() { h.processes[appender].shards[shard].RecordOutcome(reported) })
}

// mayServe reports whether proc accepts new requests.
func (h *history) mayServe(proc *process) bool {
	if h.mutation == serveStale {
		return proc.follower.Version() > 0
	}
	return proc.follower.Version() > 0 && proc.follower.Fresh(h.fleet.Now)
}

// checkDispatch checks that proc may dispatch a request under its configuration:
// every change that was accepted more than freshFor ago must be in force.
func (h *history) checkDispatch(proc *process) {
	version := proc.follower.Version()
	for accepted, at := range h.acceptedAt {
		if h.fleet.Now.Sub(at) > freshFor && version < accepted {
			h.addViolation("in force everywhere", "%s dispatched under version %d, %v after version %d was accepted",
				proc.router.Member.Name, version, h.fleet.Now.Sub(at), accepted)
			return
		}
	}
}

// checkChats checks, for every router that would serve a chat now, that its configuration allows it.
func (h *history) checkChats() {
	for _, r := range h.fleet.Routers {
		if !r.Up || r.Paused {
			continue
		}
		proc := h.processes[r]
		if !h.mayServe(proc) {
			h.counts.ChatsRefused++
			continue
		}
		h.counts.Chats++
		h.checkDispatch(proc)
	}
}
