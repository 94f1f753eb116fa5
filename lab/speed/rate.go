package speed

import (
	"context"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"
)

const (
	// warmRequests is the number of requests sent before measuring.
	warmRequests = 50
	// rateTokens is the length of a response in the load at a fixed rate.
	rateTokens = 20
	// costTokens is the length of a response when the cost is measured.
	costTokens = 1
	// maxUs bounds the histograms, in microseconds.
	maxUs = 60_000_000
	// digits is the precision of the histograms.
	digits = 3
)

// samples collects the timings of one target. It is safe for concurrent use.
type samples struct {
	mu         sync.Mutex
	first      *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

func newSamples() *samples {
	return &samples{first: hdrhistogram.New(1, maxUs, digits), interToken: hdrhistogram.New(1, maxUs, digits)}
}

func (s *samples) add(t timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.first.RecordValue(t.first.Microseconds())
	for _, gap := range t.interToken {
		_ = s.interToken.RecordValue(gap.Microseconds())
	}
}

func (b *bench) warm(ctx context.Context) error {
	for range warmRequests {
		for _, t := range []target{b.direct, b.routed} {
			if _, err := b.stream(ctx, t, body(costTokens)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureLatencies sends the same load to both targets, alternating.
func (b *bench) measureLatencies(ctx context.Context, o Options, result *Result) error {
	direct, routed := newSamples(), newSamples()
	data := body(rateTokens)
	senders := pool.New().WithErrors().WithFirstError()
	ticker := time.NewTicker(time.Second / time.Duration(2*o.PerSecond))
	defer ticker.Stop()
	for i := range int(o.Seconds * float64(2*o.PerSecond)) {
		t, into := b.direct, direct
		if i%2 == 1 {
			t, into = b.routed, routed
		}
		senders.Go(func() error {
			timed, err := b.stream(ctx, t, data)
			if err == nil {
				into.add(timed)
			}
			return err
		})
		<-ticker.C
	}
	if err := senders.Wait(); err != nil {
		return err
	}
	result.FirstTokenP50Us = quantiles(direct.first, routed.first, 50)
	result.FirstTokenP95Us = quantiles(direct.first, routed.first, 95)
	result.InterTokenP50Us = quantiles(direct.interToken, routed.interToken, 50)
	result.InterTokenP95Us = quantiles(direct.interToken, routed.interToken, 95)
	return nil
}

func quantiles(direct, routed *hdrhistogram.Histogram, percent float64) Pair {
	return Pair{Direct: float64(direct.ValueAtPercentile(percent)), Routed: float64(routed.ValueAtPercentile(percent))}
}

// measureCosts sends requests sequentially and compares their cost.
func (b *bench) measureCosts(ctx context.Context, o Options, result *Result) error {
	directAllocs, directTime, err := b.costPerRequest(ctx, b.direct, o.Requests)
	if err != nil {
		return err
	}
	routedAllocs, routedTime, err := b.costPerRequest(ctx, b.routed, o.Requests)
	if err != nil {
		return err
	}
	result.RequestAllocs = Pair{Direct: directAllocs, Routed: routedAllocs}
	result.RequestCPU = Pair{Direct: directTime, Routed: routedTime}
	return nil
}

// costPerRequest returns allocations and CPU time in microseconds per request, for
// caller, router and stand-in together.
func (b *bench) costPerRequest(ctx context.Context, t target, requests int) (float64, float64, error) {
	data := body(costTokens)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range requests {
		if _, err := b.stream(ctx, t, data); err != nil {
			return 0, 0, err
		}
	}
	spent := cpuTime() - start
	runtime.ReadMemStats(&after)
	n := float64(requests)
	return float64(after.Mallocs-before.Mallocs) / n, float64(spent.Microseconds()) / n, nil
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
