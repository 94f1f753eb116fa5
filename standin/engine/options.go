package engine

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WeightSource is where an engine gets weights from when it is ordered to
// load a model, a version or an adapter.
type WeightSource interface {
	Load(ctx context.Context, model, version, adapter string) error
}

// Options describe an engine. The zero value is an engine without limits that
// answers at once.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults

	Model   string
	Version string
	Adapter string
	Role    string

	// Capacity is the number of requests that the warm engine computes at a time.
	Capacity int
	// ColdCapacity is the number that it bears right after a start; 0: Bears.
	ColdCapacity int
	// WarmAfter is the number of completed requests after which it is warm.
	WarmAfter int
	// ColdSlowdown is how many times as long tokens and prefill take right
	// after a start; it falls to 1 as the engine warms. 0: 1.
	ColdSlowdown float64
	// FallsOverBy is the number of requests in progress above the true
	// capacity at which the engine crashes; 0: never.
	FallsOverBy int
	// QueueLimit is the number of waiting requests above which it refuses; 0:
	// no limit.
	QueueLimit int

	// TokenTime is the time of one step of the batch with one request.
	TokenTime time.Duration
	// TokenTimeEach is added to a step for every further request.
	TokenTimeEach time.Duration
	// PrefillPerSecond is the number of uncached prompt tokens that are
	// computed in a second; 0: no time.
	PrefillPerSecond int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// MovePerSecond is the number of cached tokens that are exported or
	// imported in a second; 0: no time.
	MovePerSecond int

	// KeepFinished is how long a finished stream can still be resumed.
	KeepFinished time.Duration
	// ResumeGrace is how long a request goes on without a connection before
	// it is cancelled.
	ResumeGrace time.Duration

	LoadLag  time.Duration // age of load reports
	EventLag time.Duration // age at which cache events are published

	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// Weights is where ordered weights come from; nil: no time.
	Weights WeightSource
	// RestartAfter is how long the engine stays down after a crash.
	RestartAfter time.Duration
}

// maxBears stands for no limit on the requests in progress.
const maxBears = 1 << 20

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Capacity == 0 {
		o.Capacity = maxBears
	}
	if o.ColdCapacity == 0 || o.ColdCapacity > o.Capacity {
		o.ColdCapacity = o.Capacity
	}
	o.ColdSlowdown = max(o.ColdSlowdown, 1)
	return o
}
