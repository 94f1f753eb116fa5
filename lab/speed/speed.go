package speed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// startTimeout bounds the start of the router.
	startTimeout = 30 * time.Second
	// tokenTime is the duration of a step of the engine stand-in.
	tokenTime = 2 * time.Millisecond
	// capacity is the number of requests that the stand-in serves at once.
	capacity = 4096
	// deadline of the measured kind.
	deadline = 5 * time.Minute
)

// Options describe a measurement.
type Options struct {
	Seconds   float64 // duration of the load at a fixed rate
	PerSecond int     // requests through the router
	Streams   int     // open at once, for the memory
	Requests  int     // sent sequentially, for allocations and CPU time per request
}

// DefaultOptions returns the sizes that the performance goals are defined for.
func DefaultOptions() Options {
	return Options{Seconds: 20, PerSecond: 50, Streams: 400, Requests: 2000}
}

// Pair is a value without and with a router.
type Pair struct {
	Direct float64 `json:"direct"`
	Routed float64 `json:"routed"`
}

// Added returns the overhead of the router.
func (p Pair) Added() float64 { return p.Routed - p.Direct }

// Ratio returns the value with a router divided by the one without.
func (p Pair) Ratio() float64 { return p.Routed / p.Direct }

// Result is the result of a measurement.
type Result struct {
	PerSecond       int  `json:"per_second"`
	FirstTokenP50Us Pair `json:"first_token_p50_us"`
	FirstTokenP95Us Pair `json:"first_token_p95_us"`
	InterTokenP50Us Pair `json:"between_tokens_p50_us"`
	InterTokenP95Us Pair `json:"between_tokens_p95_us"`
	StreamBytes     Pair `json:"memory_per_open_stream_bytes"`
	RequestAllocs   Pair `json:"allocations_per_request"`
	RequestCPU      Pair `json:"processor_us_per_request"`
}

// bench is a router and a stand-in under measurement.
type bench struct {
	fleet  *fleet.Fleet
	client *http.Client
	direct target
	routed target
}

// target is the address and headers of requests.
type target struct {
	url    string
	header http.Header
}

// Run runs the measurement.
func Run(ctx context.Context, o Options) (Result, error) {
	b, err := start(ctx, tokenTime)
	if err != nil {
		return Result{}, err
	}
	result := Result{PerSecond: o.PerSecond}
	err = b.warm(ctx)
	if err == nil {
		err = b.measureLatencies(ctx, o, &result)
	}
	if err == nil {
		err = b.measureCosts(ctx, o, &result)
	}
	b.close()
	if err != nil {
		return Result{}, err
	}
	result.StreamBytes, err = streamMemory(ctx, o.Streams)
	return result, err
}

func start(ctx context.Context, step time.Duration) (*bench, error) {
	f, err := fleet.Start(fleet.Options{
		Config: configuration(), Routers: 1, Log: logr.Discard(),
		Site: testbed.Options{Engine: engine.Options{TokenTime: step}},
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Push(ctx); err != nil {
		f.Close()
		return nil, err
	}
	b := &bench{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: capacity, DisableCompression: true}}}
	b.direct = target{url: "http://" + f.Site.Config.Endpoints[0].Address.String() + "/v1/chat/completions", header: http.Header{}}
	b.routed = target{url: "http://" + f.CallerAddresses()[0] + "/v1/chat/completions", header: http.Header{
		"Stoatmount-Workspace": {"w"}, "Stoatmount-Kind": {"chat"},
	}}
	return b, nil
}

func (b *bench) close() {
	b.client.CloseIdleConnections()
	b.fleet.Close()
}

// configuration has one endpoint with capacity for the whole load.
func configuration() config.Config {
	second := config.Duration(time.Second)
	return config.Config{
		Zones:  []config.Zone{{Name: "z", Region: "r"}},
		Models: []config.Model{{Name: "m", Version: "1", PrefillPerSecond: 1_000_000}},
		Endpoints: []config.Endpoint{{
			Name: "e", Zone: "z", Model: "m", Capacity: capacity, ColdCapacity: capacity, WarmAfter: 1, CacheTokens: 1_000_000,
		}},
		Kinds: []config.Kind{{
			Name: "chat", Model: "m", Worth: 1, FullUntil: second, Deadline: config.Duration(deadline),
			FirstByte: 30 * second, BetweenBytes: 60 * second, Objective: 0.99,
		}},
		Workspaces: []config.Workspace{{Name: "w", Share: 1, KeyHash: fmt.Sprintf("%064d", 0)}},
		Limits: config.Limits{
			MeanMultiple: 1.25, LoadLag: second, LedgerWindow: 3600 * second, LedgerShards: 1,
			CrashLimit: 3, RetryShare: 0.1, AddressTTL: 5 * second, WeightLoadsPerMinute: 10,
		},
	}
}
