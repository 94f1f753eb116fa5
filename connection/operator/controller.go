package operator

import (
	"context"
	"expvar"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// Controller is what the operators' API needs from the router process. For an
// error that is an *outcome.Refusal the response has its code.
type Controller interface {
	// Fleet returns the state of every known router, including this one. Routers
	// that do not reply in time are returned as last seen.
	Fleet(ctx context.Context) api.Fleet
	// Burn returns the counters of every known router process, including replicas
	// of those that have ended, and the live routers that did not reply.
	Burn(ctx context.Context) api.Burn
	// Loads returns the load of the whole fleet.
	Loads(ctx context.Context) plan.Loads
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot() *config.Snapshot
	// History returns up to limit changes, newest first.
	History(ctx context.Context, limit int) (api.History, error)
	// Push puts a configuration in force. It returns when the change has been
	// accepted or refused.
	Push(ctx context.Context, author string, push api.Push) (config.Version, error)
	// Mark takes a target out of service or brings it back.
	Mark(ctx context.Context, author string, mark api.Mark) (config.Version, error)
	// Vars returns the metrics of the process.
	Vars() []expvar.KeyValue
}
