package engine

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WeightSource provides the weights when an engine is ordered to load a model, a
// version or an adapter.
type WeightSource interface {
	Load(ctx context.Context, model, version, adapter string) error
}

// Options describe an engine. The zero value is an engine without limits that responds at once.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults

	Model   string
	Version string
	Adapter string
	Role    string

	// Capacity is the number of requests that the warm engine computes at a time.
	Capacity int
	// ColdCapacity is the capacity right after a start; 0: Capacity.
	ColdCapacity int
	// WarmAfter is the number of completed requests after which it is warm.
	WarmAfter int
	// ColdSlowdown is the factor on token and prefill time right after a start;
	// it falls to 1 as the engine warms up. 0: 1.
	ColdSlowdown float64
	// CrashOverrun is the number of requests above the true capacity at which
	// the engine crashes; 0: never.
	CrashOverrun int
	// QueueLimit is the largest number of waiting requests; the engine refuses
	// further ones. 0: no limit.
	QueueLimit int

	// TokenTime is the time of one step of the batch with one request.
	TokenTime time.Duration
	// TokenTimePerExtraRequest is added to a step for every additional request.
	TokenTimePerExtraRequest time.Duration
	// PrefillPerSecond is the number of uncached prompt tokens that are
	// computed per second; 0: no time.
	PrefillPerSecond int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// MovePerSecond is the number of cached tokens that are exported or
	// imported per second; 0: no time.
	MovePerSecond int

	// KeepFinished is how long a finished stream can be resumed.
	KeepFinished time.Duration
	// ResumeGrace is how long a request continues without a connection before it is cancelled.
	ResumeGrace time.Duration

	LoadLag  time.Duration // delay of load reports
	EventLag time.Duration // delay of cache events

	// ChecksFence refuses orders with an old fencing token.
	ChecksFence bool
	// Weights provides the ordered weights; nil: loading takes no time.
	Weights WeightSource
	// RestartAfter is how long the engine stays down after a crash.
	RestartAfter time.Duration
}

// unlimited is the capacity if Options.Capacity is 0.
const unlimited = 1 << 20

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Capacity == 0 {
		o.Capacity = unlimited
	}
	if o.ColdCapacity == 0 || o.ColdCapacity > o.Capacity {
		o.ColdCapacity = o.Capacity
	}
	o.ColdSlowdown = max(o.ColdSlowdown, 1)
	return o
}
