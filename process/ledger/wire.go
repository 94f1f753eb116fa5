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
		HoldsMs:     uint32(c.Holds.Milliseconds()),
	}
}

// TakeClaim answers a peer's claim.
func (s *Set) TakeClaim(ctx context.Context, m *peerpb.Claim) *peerpb.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.GetWaitMs())*time.Millisecond)
	defer cancel()
	r := s.Claim(ctx, int(m.GetShard()), Claim{
		Key:         Key(m.GetKey()),
		Attempt:     AttemptID{High: m.GetAttemptHigh(), Low: m.GetAttemptLow()},
		Fingerprint: m.GetFingerprint(),
		Holds:       time.Duration(m.GetHoldsMs()) * time.Millisecond,
	})
	reply := &peerpb.ClaimReply{
		State:        uint32(r.State),
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
		NeverTried:   r.NeverTried,
	}
	if r.Answer != nil {
		reply.Held = true
		reply.Status = uint32(r.Answer.Status)
		reply.ContentType = r.Answer.ContentType
		reply.Answer = r.Answer.Body
	}
	return reply
}

// ClaimResult reads a peer's answer to a claim.
func ClaimResult(m *peerpb.ClaimReply) Result {
	r := Result{
		State:      State(m.GetState()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		NeverTried: m.GetNeverTried(),
	}
	if m.GetHeld() {
		r.Answer = &Answer{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetAnswer()}
	}
	return r
}

// FinishMessage returns the message that tells the appender of shard about f.
func FinishMessage(shard int, f Finish) *peerpb.Finish {
	m := &peerpb.Finish{
		Shard:       uint32(shard),
		Key:         string(f.Key),
		AttemptHigh: f.Attempt.High,
		AttemptLow:  f.Attempt.Low,
		Run:         uint32(f.Run),
	}
	if f.Answer != nil && len(f.Answer.Body) <= MaxAnswerBytes {
		m.Held = true
		m.Status = uint32(f.Answer.Status)
		m.ContentType = f.Answer.ContentType
		m.Answer = f.Answer.Body
	}
	return m
}

// TakeFinish records what a peer says about an attempt.
func (s *Set) TakeFinish(m *peerpb.Finish) {
	f := Finish{
		Key:     Key(m.GetKey()),
		Attempt: AttemptID{High: m.GetAttemptHigh(), Low: m.GetAttemptLow()},
		Run:     outcome.Run(m.GetRun()),
	}
	if m.GetHeld() {
		f.Answer = &Answer{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetAnswer()}
	}
	s.Finish(int(m.GetShard()), f)
}
