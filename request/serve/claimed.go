package serve

import (
	"context"
	"net/http"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// storedBytes is the largest answer that is kept for repeats.
const storedBytes = 2 << 10

// serveClaimed serves a non-idempotent request with a key: the claim is in the
// log before anything is sent.
func (s *Server) serveClaimed(ctx context.Context, job *Job, sink Sink) *outcome.Refusal {
	claim, stored, refusal := s.claims.Claim(ctx, job)
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		return replay(stored, sink)
	}
	recorder := &recordingSink{inner: sink}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), job.Remaining(s.clock.Now()))
	defer cancel()
	refusal = s.audited(ctx, job, recorder, claim)
	claim.Finish(finalRun(refusal), recorder.answer())
	return refusal
}

func finalRun(refusal *outcome.Refusal) outcome.Run {
	if refusal == nil {
		return outcome.RunDone
	}
	return refusal.Run
}

// replay answers a repeat with the answer of the first request.
func replay(stored *StoredAnswer, sink Sink) *outcome.Refusal {
	header := make(http.Header)
	if stored.ContentType != "" {
		header.Set("Content-Type", stored.ContentType)
	}
	header.Set("Stoatmount-Repeated", "true")
	if err := sink.Head(stored.Status, header, int64(len(stored.Body))); err != nil {
		return callerGone(err)
	}
	if err := sink.Write(stored.Body); err != nil {
		return callerGone(err)
	}
	return nil
}

// recordingSink keeps a small answer while it passes. A caller that has gone
// does not end the request, as its repeat asks for the same answer.
type recordingSink struct {
	inner    Sink
	stored   StoredAnswer
	tooLarge bool
	gone     bool
}

// Head implements Sink.
func (r *recordingSink) Head(status int, header http.Header, length int64) error {
	r.stored.Status = status
	r.stored.ContentType = header.Get("Content-Type")
	r.gone = r.inner.Head(status, header, length) != nil
	return nil
}

// Write implements Sink.
func (r *recordingSink) Write(part []byte) error {
	if len(r.stored.Body)+len(part) > storedBytes {
		r.tooLarge = true
		r.stored.Body = nil
	}
	if !r.tooLarge {
		r.stored.Body = append(r.stored.Body, part...)
	}
	if !r.gone {
		r.gone = r.inner.Write(part) != nil
	}
	return nil
}

// answer returns the recorded answer, or nil if it is too large to keep.
func (r *recordingSink) answer() *StoredAnswer {
	if r.tooLarge || r.stored.Status == 0 {
		return nil
	}
	return &r.stored
}
