package ledger

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// ClaimMessage returns the message that submits c to the appender of shard. wait
// bounds the time that the appender waits for the log.
func ClaimMessage(shard int, c Claim, wait time.Duration) *peerpb.Claim {
	return &peerpb.Claim{
		Shard:       uint32(shard),
		Key:         string(c.Key),
		Fingerprint: c.Fingerprint,
		AttemptHigh: c.Attempt.High,
		AttemptLow:  c.Attempt.Low,
		WaitMs:      uint32(wait.Milliseconds()),
		HoldsMs:     uint32(c.MaxDuration.Milliseconds()),
	}
}

// HandleClaim submits the claim of a peer and returns the reply.
func (s *Set) HandleClaim(ctx context.Context, m *peerpb.Claim) *peerpb.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.GetWaitMs())*time.Millisecond)
	defer cancel()
	r := s.Claim(ctx, int(m.GetShard()), Claim{
		Key:         Key(m.GetKey()),
		Attempt:     AttemptID{High: m.GetAttemptHigh(), Low: m.GetAttemptLow()},
		Fingerprint: m.GetFingerprint(),
		MaxDuration: time.Duration(m.GetHoldsMs()) * time.Millisecond,
	})
	reply := &peerpb.ClaimReply{
		State:        uint32(r.State),
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
		NeverTried:   r.NeverRun,
	}
	if r.Response != nil {
		reply.Held = true
		reply.Status = uint32(r.Response.Status)
		reply.ContentType = r.Response.ContentType
		reply.Answer = r.Response.Body
	}
	return reply
}

// ResultFromReply decodes a peer's reply to a claim.
func ResultFromReply(m *peerpb.ClaimReply) Result {
	r := Result{
		State:      State(m.GetState()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		NeverRun:   m.GetNeverTried(),
	}
	if m.GetHeld() {
		r.Response = &StoredResponse{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetAnswer()}
	}
	return r
}

// OutcomeMessage returns the message that reports an outcome to the appender of shard.
func OutcomeMessage(shard int, o Outcome) *peerpb.Finish {
	m := &peerpb.Finish{
		Shard:       uint32(shard),
		Key:         string(o.Key),
		AttemptHigh: o.Attempt.High,
		AttemptLow:  o.Attempt.Low,
		Run:         uint32(o.Run),
	}
	if o.Response != nil && len(o.Response.Body) <= MaxResponseBytes {
		m.Held = true
		m.Status = uint32(o.Response.Status)
		m.ContentType = o.Response.ContentType
		m.Answer = o.Response.Body
	}
	return m
}

// HandleOutcome records an outcome that a peer reported.
func (s *Set) HandleOutcome(m *peerpb.Finish) {
	o := Outcome{
		Key:     Key(m.GetKey()),
		Attempt: AttemptID{High: m.GetAttemptHigh(), Low: m.GetAttemptLow()},
		Run:     outcome.Run(m.GetRun()),
	}
	if m.GetHeld() {
		o.Response = &StoredResponse{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetAnswer()}
	}
	s.RecordOutcome(int(m.GetShard()), o)
}
