package caller

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

// Router is what the callers' API needs from the router process.
type Router interface {
	// Snapshot returns the configuration in force, or nil.
	Snapshot() *config.Snapshot
	// NextID returns a new request id.
	NextID() string
	// Serve processes the request to its outcome.
	Serve(ctx context.Context, job *serve.Job, sink serve.Sink) *outcome.Refusal
	// Addresses returns the entry hosts (hosts of routers) for a chat, best first.
	Addresses(workspace, chat string, kind *config.Kind) Addresses
	// NewWorkRefusal returns nil if the process takes new work, otherwise the
	// refusal to respond with.
	NewWorkRefusal() *outcome.Refusal
	// Ready reports whether callers should be sent to this process.
	Ready() bool
	// Observe receives the completion of each request.
	Observe(done Completion)
}

// Addresses is the response to an address query.
type Addresses struct {
	Addresses []string `json:"addresses"` // IP address and port, best first
	TTLMs     int64    `json:"ttl_ms"`    // how long the response may be cached
	Version   uint64   `json:"version"`   // configuration version it is based on
}

// Completion describes a request that has ended.
type Completion struct {
	ID        string
	Workspace string
	Kind      string
	Code      outcome.Code
	Run       outcome.Run
	FirstByte time.Duration // until the head of the response
	Duration  time.Duration
	InTime    bool
	Truncated bool // the response ended early, after its head was sent
}
