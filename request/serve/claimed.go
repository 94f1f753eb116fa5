package serve

import (
	"context"
	"net/http"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// maxStoredBytes is the size of the largest response that is stored for repeated
// requests with the same key.
const maxStoredBytes = 2 << 10

// serveClaimed serves a non-idempotent request with a key: the claim is in the log
// before anything is sent.
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
	refusal = s.runAudited(ctx, job, recorder, claim)
	claim.Finish(finalRun(refusal), recorder.response())
	return refusal
}

func finalRun(refusal *outcome.Refusal) outcome.Run {
	if refusal == nil {
		return outcome.RunDone
	}
	return refusal.Run
}

// replay answers a repeated request with the stored response of the first one.
func replay(stored *StoredResponse, sink Sink) *outcome.Refusal {
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

// recordingSink records a small response while passing it on. A caller that
// disconnects does not end the request, as its repetition asks for the same
// response.
type recordingSink struct {
	inner      Sink
	stored     StoredResponse
	tooLarge   bool
	callerGone bool
}

// Head implements Sink.
func (r *recordingSink) Head(status int, header http.Header, length int64) error {
	r.stored.Status = status
	r.stored.ContentType = header.Get("Content-Type")
	r.callerGone = r.inner.Head(status, header, length) != nil
	return nil
}

// Write implements Sink.
func (r *recordingSink) Write(part []byte) error {
	if len(r.stored.Body)+len(part) > maxStoredBytes {
		r.tooLarge = true
		r.stored.Body = nil
	}
	if !r.tooLarge {
		r.stored.Body = append(r.stored.Body, part...)
	}
	if !r.callerGone {
		r.callerGone = r.inner.Write(part) != nil
	}
	return nil
}

// response returns the recorded response, or nil if it is too large to store.
func (r *recordingSink) response() *StoredResponse {
	if r.tooLarge || r.stored.Status == 0 {
		return nil
	}
	return &r.stored
}
