package histories

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// request is a caller's non-idempotent request with one or more attempts.
type request struct {
	key        ledger.Key
	executions int
	// notRunAt is when an appender last decided that no attempt had run.
	notRunAt time.Time
}

// decision is the ledger's result for a claim, with the time of the decision.
type decision struct {
	ledger.Result
	at         time.Time
	executions int // of the request until then
}

// newRequest returns a request whose key, a UUIDv7, has the current time.
func (w *history) newRequest() *request {
	var id uuid.UUID
	ms := w.fleet.Now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(w.rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	r := &request{key: ledger.Key("u/ws/" + id.String())}
	w.requests = append(w.requests, r)
	return r
}

// sendBooking sends a new or an earlier non-idempotent request to one or two
// routers at once.
func (w *history) sendBooking() {
	var r *request
	if len(w.requests) > 0 && w.rng.IntN(2) == 0 {
		r = w.requests[max(0, len(w.requests)-1-w.rng.IntN(6))]
		w.counts.Repeats++
	} else {
		r = w.newRequest()
	}
	for range 1 + w.rng.IntN(2) {
		w.handleBooking(w.randomRouter(), r)
	}
}

// handleBooking handles a request at its entry host.
func (w *history) handleBooking(entry *sim.Router, r *request) {
	if !entry.Up || entry.Paused {
		return
	}
	w.counts.Claims++
	h := w.hosts[entry]
	claim := ledger.Claim{
		Key: r.key, Attempt: ledger.NewAttemptID(w.rng), Fingerprint: 1, MaxDuration: ledgerWindow / 4,
	}
	attempt := ledger.NewAttempt(claim.Attempt, w.fleet.Now.Add(ledgerWindow/4))
	handle := func(d decision) { w.handleDecision(h, r, attempt, d) }
	shard := r.key.Shard(shards)
	if owner := w.ownerOf(h, shard); owner != nil {
		w.fleet.Send(entry, owner, func() { w.submitClaim(owner, entry, r, claim, handle) })
	}
	w.fleet.Do(entry, entryTimeout, func() { handle(decision{Result: ledger.Result{State: ledger.LogUnavailable}}) })
}

// ownerOf returns the appender of a shard as h sees it.
func (w *history) ownerOf(h *host, shard int) *sim.Router {
	owner, ok := h.table.OwnerFor(w.fleet.Now, member.DutyLedger, fmt.Sprint(shard))
	if !ok {
		return nil
	}
	return w.fleet.Find(owner.Name)
}

// submitClaim submits a claim to the appender.
func (w *history) submitClaim(owner, entry *sim.Router, r *request, claim ledger.Claim, handle func(decision)) {
	w.syncClock()
	h := w.hosts[owner]
	shard := r.key.Shard(shards)
	h.claims = append(h.claims, pendingClaim{
		PendingClaim: h.shards[shard].Submit(claim), shard: h.shards[shard], since: w.fleet.Now,
		reply: func(result ledger.Result) {
			d := decision{Result: result, at: w.fleet.Now, executions: r.executions}
			if refusal := result.Refusal(); refusal != nil && refusal.Run == outcome.RunNot {
				r.notRunAt = w.fleet.Now
			}
			w.fleet.Send(owner, entry, func() { handle(d) })
		},
	})
}

// serveLedger appends, reads, and replies to claims that are settled or timed out.
func (w *history) serveLedger(h *host) {
	ctx := context.Background()
	for _, s := range h.shards {
		_, _ = s.Flush(ctx)
		_ = s.Tail(ctx, 0)
	}
	pending := h.claims[:0]
	for _, t := range h.claims {
		result := t.Result()
		if result.State == ledger.Unsettled && w.fleet.Now.Sub(t.since) > claimTimeout {
			result = t.shard.Abandon(t.PendingClaim)
		}
		if result.State == ledger.Unsettled {
			pending = append(pending, t)
			continue
		}
		t.reply(result)
	}
	h.claims = pending
}

// handleDecision handles the result of a claim at the entry host and dispatches
// the request if the claim won.
func (w *history) handleDecision(h *host, r *request, attempt *ledger.Attempt, d decision) {
	result := d.Result
	if attempt.Dispatched() || attempt.Abandoned() {
		return
	}
	w.checkResult(r, d)
	if w.mutation == dispatchWithoutClaim && result.State == ledger.InProgress {
		result = ledger.Result{State: ledger.Won}
	}
	if !attempt.ApplyClaimResult(result) {
		return
	}
	if !w.mayServe(h) || !attempt.Dispatch(w.fleet.Now) {
		attempt.Abandon()
		w.reportOutcome(h, r, attempt, outcome.RunNot)
		return
	}
	w.checkDispatch(h)
	r.executions++
	w.counts.Ran++
	if d.at.Before(r.notRunAt) {
		w.addViolation("not run is true", "key %s won before a refusal said not run, and ran after it", r.key)
	}
	if r.executions > 1 {
		w.addViolation("at most once", "key %s ran %d times", r.key, r.executions)
	}
	w.fleet.Do(h.router, time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
		w.reportOutcome(h, r, attempt, outcome.RunDone)
	})
}

// checkResult checks the result that the caller gets against the executions so
// far. A reply may be late: it covers the attempts before its decision.
func (w *history) checkResult(r *request, d decision) {
	result := d.Result
	refusal := result.Refusal()
	if w.mutation == refuseAsNotRun && refusal != nil {
		refusal.Run = outcome.RunNot
	}
	switch {
	case result.State == ledger.Done && r.executions == 0:
		w.addViolation("answer matches request", "key %s is reported as done, but never ran", r.key)
	case result.State == ledger.Done && result.Response != nil:
		w.counts.StoredAnswers++
		if string(result.Response.Body) != string(r.key) {
			w.addViolation("answer matches request", "key %s got %q", r.key, result.Response.Body)
		}
	case refusal == nil:
	case refusal.Run == outcome.RunNot:
		w.counts.RefusedNotRun++
		if d.executions > 0 {
			w.addViolation("not run is true", "key %s ran %d times, refused with %s", r.key, d.executions, result.State)
		}
	default:
		w.counts.RefusedUnknown++
	}
}

// reportOutcome sends the outcome of an attempt to the appender.
func (w *history) reportOutcome(h *host, r *request, attempt *ledger.Attempt, run outcome.Run) {
	shard := r.key.Shard(shards)
	owner := w.ownerOf(h, shard)
	if owner == nil {
		return
	}
	reported := ledger.Outcome{Key: r.key, Attempt: attempt.ID, Run: run}
	if run == outcome.RunDone {
		reported.Response = &ledger.StoredResponse{Status: 200, Body: []byte(r.key)}
	}
	w.fleet.Send(h.router, owner, func() { w.hosts[owner].shards[shard].RecordOutcome(reported) })
}

// mayServe reports whether h accepts new requests.
func (w *history) mayServe(h *host) bool {
	if w.mutation == serveStale {
		return h.follower.Version() > 0
	}
	return h.follower.Version() > 0 && h.follower.Fresh(w.fleet.Now)
}

// checkDispatch checks that h may dispatch a request under its configuration:
// every change that was accepted more than freshFor ago must be in force.
func (w *history) checkDispatch(h *host) {
	version := h.follower.Version()
	for accepted, at := range w.acceptedAt {
		if w.fleet.Now.Sub(at) > freshFor && version < accepted {
			w.addViolation("in force everywhere", "%s dispatched under version %d, %v after version %d was accepted",
				h.router.Member.Name, version, w.fleet.Now.Sub(at), accepted)
			return
		}
	}
}

// checkChats sends a chat to every router that is up and accepts new requests.
func (w *history) checkChats() {
	for _, r := range w.fleet.Routers {
		if !r.Up || r.Paused {
			continue
		}
		h := w.hosts[r]
		if !w.mayServe(h) {
			w.counts.ChatsRefused++
			continue
		}
		w.counts.Chats++
		w.checkDispatch(h)
	}
}

// submitChange submits an operator's change to a random router.
func (w *history) submitChange() {
	r := w.randomRouter()
	if !r.Up || r.Paused {
		return
	}
	w.syncClock()
	h := w.hosts[r]
	w.changeCount++
	c := configlog.Change{ID: fmt.Sprintf("c%d", w.changeCount), Base: h.follower.Version()}
	switch w.rng.IntN(3) {
	case 0:
		c.Op, c.Config = configlog.OpPush, zoneConfig(c.ID)
	case 1:
		c.Op, c.Target = configlog.OpTakeOut, &config.Target{Scope: config.ScopeZone, Name: "b"}
	default:
		c.Op, c.Target = configlog.OpBringBack, &config.Target{Scope: config.ScopeZone, Name: "b"}
	}
	s, err := h.follower.BeginSubmission(c)
	if err != nil {
		w.counts.Refused++
		return
	}
	h.submissions = append(h.submissions, s)
	h.changeIDs = append(h.changeIDs, c.ID)
}

// advanceChanges advances the submissions of h and checks those that are done.
func (w *history) advanceChanges(h *host) {
	changes, ids := h.submissions[:0], h.changeIDs[:0]
	for i, s := range h.submissions {
		s.Step(context.Background())
		if s.Done() {
			w.checkDecision(h.changeIDs[i], s)
			continue
		}
		if w.mutation == acceptOnAppend {
			w.recordIfAccepted(h.changeIDs[i])
		}
		changes, ids = append(changes, s), append(ids, h.changeIDs[i])
	}
	h.submissions, h.changeIDs = changes, ids
}

func (w *history) recordIfAccepted(id string) {
	entry, ok := w.foldLog().EntryOf(id)
	if ok && entry.Decision.Accepted {
		w.recordAccepted(entry.Decision.Version)
	}
}

func (w *history) recordAccepted(version config.Version) {
	if _, known := w.acceptedAt[version]; !known {
		w.acceptedAt[version] = w.fleet.Now
	}
}

// checkDecision checks the decision that an operator gets against the log.
func (w *history) checkDecision(id string, s *configlog.Submission) {
	decided, err := s.Result()
	entry, inLog := w.foldLog().EntryOf(id)
	refusal, refused := outcome.AsRefusal(err)
	switch {
	case refused && refusal.Code == outcome.LogUnavailable:
		w.counts.Refused++
		if inLog && entry.Decision.Accepted {
			w.addViolation("accepted only when it is", "change %s was refused, but is version %d", id, entry.Decision.Version)
		}
	case refused:
		w.counts.Unknown++
	case !inLog || entry.Decision.Accepted != decided.Accepted:
		w.addViolation("accepted only when it is", "change %s was reported as %+v, the log has %+v", id, decided, entry.Decision)
	case decided.Accepted:
		w.counts.Accepted++
		w.recordAccepted(decided.Version)
	default:
		w.counts.Rejected++
	}
}
