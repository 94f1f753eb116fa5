package serve

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// Dependencies are the parts of the process that serving a request calls.
type Dependencies interface {
	// Acquire gets a permit at the best endpoint that is not in exclude. It waits no
	// longer than the job's deadline allows.
	Acquire(ctx context.Context, job *Job, exclude []string) (Permit, *outcome.Refusal)
	// TakeRetry takes one retry or hedge to the endpoint from the retry budget, if that allows one.
	TakeRetry(endpoint string) bool
	// Crashed records that the endpoint may have crashed while it had the request.
	Crashed(job *Job, endpoint string, incarnation uint64)
	// PlaceToken returns the token that names the chat's placement to the caller.
	PlaceToken(job *Job, endpoint string, incarnation uint64, tokens int) string
	// RecordPlacement records where the chat's prefix is cached now.
	RecordPlacement(job *Job, endpoint string, incarnation uint64, tokens int)
	// Background runs work that may outlive the request.
	Background(work func())
}

// Permit is the right to send one request to one endpoint.
type Permit interface {
	Endpoint() *config.Endpoint
	// MayDispatch is the last check before the request is sent.
	MayDispatch(now time.Time) *outcome.Refusal
	// Release releases the permit. It must be called exactly once.
	Release(result Result)
}

// Result is the outcome of an attempt for the admission owner.
type Result struct {
	Dispatched  bool          // bytes may have been sent
	Completed   bool          // the response was complete
	Failed      bool          // the endpoint failed while it had the request
	FirstToken  time.Duration // from sending to the first part passed on
	Incarnation uint64        // of the endpoint
	Tokens      int           // events passed on
}

// Claims records non-idempotent requests before they are dispatched.
type Claims interface {
	// Claim returns the right to dispatch the job, or the stored response of an
	// earlier request with the same key, or a refusal.
	Claim(ctx context.Context, job *Job) (Claim, *StoredResponse, *outcome.Refusal)
}

// Claim is the right to dispatch one non-idempotent request.
type Claim interface {
	// MayDispatch reports whether the claim is still valid. Once it has returned true,
	// the request counts as dispatched.
	MayDispatch() bool
	// Finish records the outcome of the request. stored may be nil.
	Finish(run outcome.Run, stored *StoredResponse)
}

// StoredResponse is a response that is stored for repeated requests with its key.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}
