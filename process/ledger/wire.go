package ledger

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// ClaimMessage returns the message that asks the appender of shard for c and
// lets it wait for the log up to wait.
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

// HandleClaim answers a peer's claim.
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

// ResultFromReply reads a peer's answer to a claim.
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

// OutcomeMessage returns the message that tells the appender of shard about f.
func OutcomeMessage(shard int, f Outcome) *peerpb.Finish {
	m := &peerpb.Finish{
		Shard:       uint32(shard),
		Key:         string(f.Key),
		AttemptHigh: f.Attempt.High,
		AttemptLow:  f.Attempt.Low,
		Run:         uint32(f.Run),
	}
	if f.Response != nil && len(f.Response.Body) <= MaxResponseBytes {
		m.Held = true
		m.Status = uint32(f.Response.Status)
		m.ContentType = f.Response.ContentType
		m.Answer = f.Response.Body
	}
	return m
}

// HandleOutcome records what a peer says about an attempt.
func (s *Set) HandleOutcome(m *peerpb.Finish) {
	f := Outcome{
		Key:     Key(m.GetKey()),
		Attempt: AttemptID{High: m.GetAttemptHigh(), Low: m.GetAttemptLow()},
		Run:     outcome.Run(m.GetRun()),
	}
	if m.GetHeld() {
		f.Response = &StoredResponse{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetAnswer()}
	}
	s.RecordOutcome(int(m.GetShard()), f)
}
