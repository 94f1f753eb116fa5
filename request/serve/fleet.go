package serve

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// Fleet is what serving a request needs from the process.
type Fleet interface {
	// Acquire gets a permit at the best endpoint that is not in avoid. It
	// waits no longer than the job's deadline allows.
	Acquire(ctx context.Context, job *Job, avoid []string) (Permit, *outcome.Refusal)
	// MayRetry spends one retry or hedge at the endpoint, if the budget has one.
	MayRetry(endpoint string) bool
	// Crashed is told that the endpoint was lost while it had the request.
	Crashed(job *Job, endpoint string, boot uint64)
	// PlaceToken returns the token that names the chat's place to the caller.
	PlaceToken(job *Job, endpoint string, boot uint64, tokens int) string
	// Placed is told where the chat's prefix is cached now.
	Placed(job *Job, endpoint string, boot uint64, tokens int)
	// Background runs work that outlives the request.
	Background(work func())
}

// Permit is the right to send one request to one endpoint.
type Permit interface {
	Endpoint() *config.Endpoint
	// MayDispatch is the last check before the request leaves.
	MayDispatch(now time.Time) *outcome.Refusal
	// Release gives the permit back. It is called exactly once.
	Release(result Result)
}

// Result tells the admission owner how an attempt went.
type Result struct {
	Dispatched  bool // bytes may have left
	Completed   bool // the whole answer came
	Failed      bool // the endpoint failed while it had the request
	FirstToken  time.Duration
	Incarnation uint64
	Tokens      int
}

// Claims records non-idempotent requests before they are dispatched.
type Claims interface {
	// Claim returns the right to dispatch the job, or the stored answer of an
	// earlier request with the same key, or a refusal.
	Claim(ctx context.Context, job *Job) (Claim, *StoredAnswer, *outcome.Refusal)
}

// Claim is the right to dispatch one non-idempotent request.
type Claim interface {
	// MayDispatch reports whether the claim still stands. After it returned
	// true the request counts as dispatched.
	MayDispatch() bool
	// Finish records what became of the request. stored may be nil.
	Finish(run outcome.Run, stored *StoredAnswer)
}

// StoredAnswer is an answer that is kept for repeats.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}
