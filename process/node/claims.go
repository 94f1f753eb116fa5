package node

import (
	"context"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
)

const (
	// finishTries bounds how often an outcome is sent to the appender.
	finishTries = 5
	// finishPause is the pause between these tries.
	finishPause = 300 * time.Millisecond
	// finishTime bounds one of them.
	finishTime = time.Second
	// askPause is the pause before a claim is entered again when the appender
	// could not be reached.
	askPause = 200 * time.Millisecond
)

// claims implements serve.Claims.
type claims struct {
	node *Node
}

// Claim implements serve.Claims.
func (c claims) Claim(ctx context.Context, job *serve.Job) (serve.Claim, *serve.StoredAnswer, *outcome.Refusal) {
	n := c.node
	now := n.clock.Now()
	limits := &job.Snapshot.Config.Limits
	key, refusal := ledger.ParseKey(job.Workspace, job.IdempotencyKey, job.Kind.AnyKey, limits.LedgerWindow.Std(), now)
	if refusal != nil {
		return nil, nil, refusal
	}
	id := ledger.NewAttemptID(n.random())
	held := &claim{
		node: n, key: key, shard: key.Shard(limits.LedgerShards),
		attempt: ledger.NewAttempt(id, job.Deadline),
	}
	result := held.ask(ctx, ledger.Claim{
		Key: key, Attempt: id, Fingerprint: uint64(job.Fingerprint), MaxDuration: job.Remaining(now),
	})
	if held.attempt.ApplyClaimResult(result) {
		return held, nil, nil
	}
	if result.State == ledger.Done && result.Response != nil {
		a := result.Response
		return nil, &serve.StoredAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
	}
	if result.State == ledger.Won || held.unanswered {
		// Won too late, or perhaps recorded by an appender that was lost: the
		// claim is given back, as it is never dispatched.
		held.Finish(outcome.RunNot, nil)
	}
	refusal = result.Refusal()
	if refusal == nil {
		refusal = outcome.NotRun(outcome.ClaimFailed, "the claim came too late")
	}
	return nil, nil, refusal
}

// claim implements serve.Claim.
type claim struct {
	node    *Node
	key     ledger.Key
	shard   int
	attempt *ledger.Attempt
	once    bool // MayDispatch has allowed a dispatch
	// unanswered says that the claim was sent and nothing came back.
	unanswered bool
}

// appender returns the router that appends for the claim's shard.
func (c *claim) appender() (member.Member, bool) {
	return c.node.members.OwnerFor(c.node.clock.Now(), member.DutyLedger, strconv.Itoa(c.shard))
}

// ask enters the claim until it is answered or its time is over. Entering it
// again is harmless, as the first record of the attempt decides. An attempt
// whose result is not known can never be dispatched.
func (c *claim) ask(ctx context.Context, entry ledger.Claim) ledger.Result {
	ctx, cancel := context.WithTimeout(ctx, entry.MaxDuration)
	defer cancel()
	for {
		result, answered := c.askOnce(ctx, entry)
		if answered {
			c.unanswered = false
			return result
		}
		select {
		case <-c.node.clock.After(askPause):
		case <-ctx.Done():
			return ledger.Result{State: ledger.LogUnavailable}
		}
	}
}

// askOnce enters the claim with the present appender. It reports false if the
// appender could not be reached.
func (c *claim) askOnce(ctx context.Context, entry ledger.Claim) (ledger.Result, bool) {
	n := c.node
	appender, ok := c.appender()
	if !ok {
		return ledger.Result{}, false
	}
	if appender.Name == n.self.Name {
		return n.ledger.Claim(ctx, c.shard, entry), true
	}
	wait := entry.MaxDuration
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	c.unanswered = true
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: ledger.ClaimMessage(c.shard, entry, wait-wait/8)}}
	reply, err := n.links.Call(ctx, appender.Peer, message)
	if err != nil || reply.GetClaimReply() == nil {
		return ledger.Result{}, false
	}
	return ledger.ResultFromReply(reply.GetClaimReply()), true
}

// MayDispatch implements serve.Claim. Once a dispatch was allowed, a further
// attempt is allowed as well: the flow makes one only if no endpoint can have
// run the request.
func (c *claim) MayDispatch() bool {
	if c.once {
		return true
	}
	c.once = c.attempt.Dispatch(c.node.clock.Now())
	return c.once
}

// Finish implements serve.Claim.
func (c *claim) Finish(run outcome.Run, stored *serve.StoredAnswer) {
	if !c.once && !c.attempt.Abandon() {
		return
	}
	finish := ledger.Outcome{Key: c.key, Attempt: c.attempt.ID, Run: run}
	if stored != nil && run == outcome.RunDone {
		finish.Response = &ledger.StoredResponse{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body}
	}
	c.node.Background(func() { c.record(finish) })
}

// record tells the appender the outcome. An outcome that is lost leaves the
// claim without one, which repeats are told as unknown.
func (c *claim) record(finish ledger.Outcome) {
	n := c.node
	for range finishTries {
		appender, ok := c.appender()
		if ok && appender.Name == n.self.Name {
			n.ledger.RecordOutcome(c.shard, finish)
			return
		}
		if ok && c.send(appender, finish) {
			return
		}
		<-n.clock.After(finishPause)
	}
}

func (c *claim) send(appender member.Member, finish ledger.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Finish{Finish: ledger.OutcomeMessage(c.shard, finish)}}
	_, err := c.node.links.Call(ctx, appender.Peer, message)
	return err == nil
}
