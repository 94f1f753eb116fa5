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

// request is a caller's non-idempotent request, sent once or more.
type request struct {
	key ledger.Key
	ran int
	// notRunAt is when an appender last decided that no try had run.
	notRunAt time.Time
}

// decision is the ledger's word on a claim, and when it was given.
type decision struct {
	ledger.Result
	at  time.Time
	ran int // how often the request had run then
}

// newRequest returns a request with a key of now.
func (w *world) newRequest() *request {
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
	w.keys = append(w.keys, r)
	return r
}

// book sends a non-idempotent request, new or repeated, to some routers at
// once.
func (w *world) book() {
	var r *request
	if len(w.keys) > 0 && w.rng.IntN(2) == 0 {
		r = w.keys[max(0, len(w.keys)-1-w.rng.IntN(6))]
		w.counts.Repeats++
	} else {
		r = w.newRequest()
	}
	for range 1 + w.rng.IntN(2) {
		w.enter(w.anyRouter(), r)
	}
}

// enter brings a request to an entry host.
func (w *world) enter(entry *sim.Router, r *request) {
	if !entry.Up || entry.Paused {
		return
	}
	w.counts.Claims++
	h := w.hosts[entry]
	claim := ledger.Claim{
		Key: r.key, Attempt: ledger.NewAttemptID(w.rng), Fingerprint: 1, MaxDuration: window / 4,
	}
	attempt := ledger.NewAttempt(claim.Attempt, w.fleet.Now.Add(window/4))
	settle := func(d decision) { w.settle(h, r, attempt, d) }
	shard := r.key.Shard(shards)
	if owner := w.ownerOf(h, shard); owner != nil {
		w.fleet.Send(entry, owner, func() { w.ask(owner, entry, r, claim, settle) })
	}
	w.fleet.Do(entry, entryWait, func() { settle(decision{Result: ledger.Result{State: ledger.LogUnavailable}}) })
}

// ownerOf returns the appender of a shard as h sees it.
func (w *world) ownerOf(h *host, shard int) *sim.Router {
	owner, ok := h.table.OwnerFor(w.fleet.Now, member.DutyLedger, fmt.Sprint(shard))
	if !ok {
		return nil
	}
	return w.fleet.Find(owner.Name)
}

// ask enters a claim at the appender.
func (w *world) ask(owner, entry *sim.Router, r *request, claim ledger.Claim, settle func(decision)) {
	w.sync()
	h := w.hosts[owner]
	shard := r.key.Shard(shards)
	h.tickets = append(h.tickets, ticket{
		Ticket: h.shards[shard].Submit(claim), shard: h.shards[shard], since: w.fleet.Now,
		reply: func(result ledger.Result) {
			d := decision{Result: result, at: w.fleet.Now, ran: r.ran}
			if refusal := result.Refusal(); refusal != nil && refusal.Run == outcome.RunNot {
				r.notRunAt = w.fleet.Now
			}
			w.fleet.Send(owner, entry, func() { settle(d) })
		},
	})
}

// serveLedger appends and reads, and answers the claims that are settled.
func (w *world) serveLedger(h *host) {
	ctx := context.Background()
	for _, s := range h.shards {
		_, _ = s.Flush(ctx)
		_ = s.Tail(ctx, 0)
	}
	kept := h.tickets[:0]
	for _, t := range h.tickets {
		result := t.Result()
		if result.State == ledger.Unsettled && w.fleet.Now.Sub(t.since) > claimWait {
			result = t.shard.Abandon(t.Ticket)
		}
		if result.State == ledger.Unsettled {
			kept = append(kept, t)
			continue
		}
		t.reply(result)
	}
	h.tickets = kept
}

// settle takes the ledger's word at the entry host and dispatches the request
// if it won.
func (w *world) settle(h *host, r *request, attempt *ledger.Attempt, d decision) {
	result := d.Result
	if attempt.Dispatched() || attempt.Abandoned() {
		return
	}
	w.checkResult(r, d)
	if w.sabotage == dispatchAnyway && result.State == ledger.InProgress {
		result = ledger.Result{State: ledger.Won}
	}
	if !attempt.ApplyClaimResult(result) {
		return
	}
	if !w.mayServe(h) || !attempt.Dispatch(w.fleet.Now) {
		attempt.Abandon()
		w.finish(h, r, attempt, outcome.RunNot)
		return
	}
	w.dispatched(h)
	r.ran++
	w.counts.Ran++
	if d.at.Before(r.notRunAt) {
		w.breaks("not run is true", "key %s won before a refusal said not run, and ran after it", r.key)
	}
	if r.ran > 1 {
		w.breaks("at most once", "key %s ran %d times", r.key, r.ran)
	}
	w.fleet.Do(h.router, time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
		w.finish(h, r, attempt, outcome.RunDone)
	})
}

// checkResult checks what the caller is told against what really happened.
// An answer may come late: it is about the tries before its decision.
func (w *world) checkResult(r *request, d decision) {
	result := d.Result
	refusal := result.Refusal()
	if w.sabotage == refuseAsNotRun && refusal != nil {
		refusal.Run = outcome.RunNot
	}
	switch {
	case result.State == ledger.Done && r.ran == 0:
		w.breaks("answer matches request", "key %s is told as done, but never ran", r.key)
	case result.State == ledger.Done && result.Response != nil:
		w.counts.StoredAnswers++
		if string(result.Response.Body) != string(r.key) {
			w.breaks("answer matches request", "key %s got %q", r.key, result.Response.Body)
		}
	case refusal == nil:
	case refusal.Run == outcome.RunNot:
		w.counts.RefusedNotRun++
		if d.ran > 0 {
			w.breaks("not run is true", "key %s ran %d times, refused with %s", r.key, d.ran, result.State)
		}
	default:
		w.counts.RefusedUnknown++
	}
}

// finish tells the appender what became of an attempt.
func (w *world) finish(h *host, r *request, attempt *ledger.Attempt, run outcome.Run) {
	shard := r.key.Shard(shards)
	owner := w.ownerOf(h, shard)
	if owner == nil {
		return
	}
	f := ledger.Outcome{Key: r.key, Attempt: attempt.ID, Run: run}
	if run == outcome.RunDone {
		f.Response = &ledger.StoredResponse{Status: 200, Body: []byte(r.key)}
	}
	w.fleet.Send(h.router, owner, func() { w.hosts[owner].shards[shard].RecordOutcome(f) })
}

// mayServe reports whether h takes new work.
func (w *world) mayServe(h *host) bool {
	if w.sabotage == serveStale {
		return h.follower.Version() > 0
	}
	return h.follower.Version() > 0 && h.follower.Fresh(w.fleet.Now)
}

// dispatched checks that h may have dispatched a request under its
// configuration.
func (w *world) dispatched(h *host) {
	version := h.follower.Version()
	for accepted, at := range w.accepted {
		if w.fleet.Now.Sub(at) > freshFor && version < accepted {
			w.breaks("in force everywhere", "%s dispatched under version %d, %v after version %d was accepted",
				h.router.Member.Name, version, w.fleet.Now.Sub(at), accepted)
			return
		}
	}
}

// chat lets every router take a chat.
func (w *world) chat() {
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
		w.dispatched(h)
	}
}

// change lets an operator submit a change to some router.
func (w *world) change() {
	r := w.anyRouter()
	if !r.Up || r.Paused {
		return
	}
	w.sync()
	h := w.hosts[r]
	w.changes++
	c := configlog.Change{ID: fmt.Sprintf("c%d", w.changes), Base: h.follower.Version()}
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
	h.changes = append(h.changes, s)
	h.ids = append(h.ids, c.ID)
}

// stepChanges moves the changes of h on.
func (w *world) stepChanges(h *host) {
	changes, ids := h.changes[:0], h.ids[:0]
	for i, s := range h.changes {
		s.Step(context.Background())
		if s.Done() {
			w.told(h.ids[i], s)
			continue
		}
		if w.sabotage == acceptAtOnce {
			w.acceptIfInLog(h.ids[i])
		}
		changes, ids = append(changes, s), append(ids, h.ids[i])
	}
	h.changes, h.ids = changes, ids
}

func (w *world) acceptIfInLog(id string) {
	entry, ok := w.reference().Verdict(id)
	if ok && entry.Verdict.Accepted {
		w.accept(entry.Verdict.Version)
	}
}

func (w *world) accept(version config.Version) {
	if _, known := w.accepted[version]; !known {
		w.accepted[version] = w.fleet.Now
	}
}

// told checks what an operator is told against the log.
func (w *world) told(id string, s *configlog.Submission) {
	verdict, err := s.Result()
	truth, inLog := w.reference().Verdict(id)
	refusal, refused := outcome.AsRefusal(err)
	switch {
	case refused && refusal.Code == outcome.LogUnavailable:
		w.counts.Refused++
		if inLog && truth.Verdict.Accepted {
			w.breaks("accepted only when it is", "change %s was refused, but is version %d", id, truth.Verdict.Version)
		}
	case refused:
		w.counts.Unknown++
	case !inLog || truth.Verdict.Accepted != verdict.Accepted:
		w.breaks("accepted only when it is", "change %s was told as %+v, the log says %+v", id, verdict, truth.Verdict)
	case verdict.Accepted:
		w.counts.Accepted++
		w.accept(verdict.Version)
	default:
		w.counts.Rejected++
	}
}
