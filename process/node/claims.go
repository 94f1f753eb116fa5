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
	// outcomeAttempts bounds how often an outcome is sent to the appender.
	outcomeAttempts = 5
	// outcomeBackoff is the delay between these attempts.
	outcomeBackoff = 300 * time.Millisecond
	// outcomeTimeout bounds one attempt.
	outcomeTimeout = time.Second
	// claimBackoff is the delay before a claim is submitted again when the
	// appender was not reachable.
	claimBackoff = 200 * time.Millisecond
)

// claims implements serve.Claims.
type claims struct {
	node *Node
}

// Claim implements serve.Claims.
func (c claims) Claim(ctx context.Context, job *serve.Job) (serve.Claim, *serve.StoredResponse, *outcome.Refusal) {
	n := c.node
	now := n.clock.Now()
	limits := &job.Snapshot.Config.Limits
	key, refusal := ledger.ParseKey(job.Workspace, job.IdempotencyKey, job.Kind.AnyKey, limits.LedgerWindow.Std(), now)
	if refusal != nil {
		return nil, nil, refusal
	}
	id := ledger.NewAttemptID(n.random())
	submitted := &claim{
		node: n, key: key, shard: key.Shard(limits.LedgerShards),
		attempt: ledger.NewAttempt(id, job.Deadline),
	}
	result := submitted.submit(ctx, ledger.Claim{
		Key: key, Attempt: id, Fingerprint: uint64(job.Fingerprint), MaxDuration: job.Remaining(now),
	})
	if submitted.attempt.ApplyClaimResult(result) {
		return submitted, nil, nil
	}
	if result.State == ledger.Done && result.Response != nil {
		a := result.Response
		return nil, &serve.StoredResponse{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
	}
	if result.State == ledger.Won || submitted.unanswered {
		// Won too late, or possibly recorded by an appender that was lost: record
		// it as not run, since it is never dispatched.
		submitted.Finish(outcome.RunNot, nil)
	}
	refusal = result.Refusal()
	if refusal == nil {
		refusal = outcome.NotRun(outcome.ClaimFailed, "the claim came too late")
	}
	return nil, nil, refusal
}

// claim implements serve.Claim.
type claim struct {
	node            *Node
	key             ledger.Key
	shard           int
	attempt         *ledger.Attempt
	dispatchAllowed bool // MayDispatch has returned true
	// unanswered is set while a sent claim has no reply.
	unanswered bool
}

// appender returns the router that appends to the claim's shard.
func (c *claim) appender() (member.Member, bool) {
	return c.node.members.OwnerFor(c.node.clock.Now(), member.DutyLedger, strconv.Itoa(c.shard))
}

// submit submits the claim until there is a reply or its time has ended. Submitting
// it again is harmless, since the first record of the attempt decides. An attempt
// whose result is unknown can never be dispatched.
func (c *claim) submit(ctx context.Context, entry ledger.Claim) ledger.Result {
	ctx, cancel := context.WithTimeout(ctx, entry.MaxDuration)
	defer cancel()
	for {
		result, answered := c.submitOnce(ctx, entry)
		if answered {
			c.unanswered = false
			return result
		}
		select {
		case <-c.node.clock.After(claimBackoff):
		case <-ctx.Done():
			return ledger.Result{State: ledger.LogUnavailable}
		}
	}
}

// submitOnce submits the claim to the current appender. It returns false if the
// appender was not reachable.
func (c *claim) submitOnce(ctx context.Context, entry ledger.Claim) (ledger.Result, bool) {
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
	// The wait is shorter than the call, for its reply.
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: ledger.ClaimMessage(c.shard, entry, wait-wait/8)}}
	reply, err := n.links.Call(ctx, appender.Peer, message)
	if err != nil || reply.GetClaimReply() == nil {
		return ledger.Result{}, false
	}
	return ledger.ResultFromReply(reply.GetClaimReply()), true
}

// MayDispatch implements serve.Claim. After one allowed dispatch it allows further
// ones: the server makes another attempt only if no endpoint can have run the
// request.
func (c *claim) MayDispatch() bool {
	if c.dispatchAllowed {
		return true
	}
	c.dispatchAllowed = c.attempt.Dispatch(c.node.clock.Now())
	return c.dispatchAllowed
}

// Finish implements serve.Claim.
func (c *claim) Finish(run outcome.Run, stored *serve.StoredResponse) {
	if !c.dispatchAllowed && !c.attempt.Abandon() {
		return
	}
	result := ledger.Outcome{Key: c.key, Attempt: c.attempt.ID, Run: run}
	if stored != nil && run == outcome.RunDone {
		result.Response = &ledger.StoredResponse{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body}
	}
	c.node.Background(func() { c.record(result) })
}

// record sends the outcome to the appender. If it is lost, a retry is told that the
// result is unknown.
func (c *claim) record(result ledger.Outcome) {
	n := c.node
	for range outcomeAttempts {
		appender, ok := c.appender()
		if ok && appender.Name == n.self.Name {
			n.ledger.RecordOutcome(c.shard, result)
			return
		}
		if ok && c.send(appender, result) {
			return
		}
		<-n.clock.After(outcomeBackoff)
	}
}

func (c *claim) send(appender member.Member, result ledger.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Finish{Finish: ledger.OutcomeMessage(c.shard, result)}}
	_, err := c.node.links.Call(ctx, appender.Peer, message)
	return err == nil
}
