package speed

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMeasuresBothTargets(t *testing.T) {
	c := qt.New(t)
	result, err := Run(context.Background(), Options{Seconds: 1, PerSecond: 10, Streams: 4, Requests: 10})
	c.Assert(err, qt.IsNil)
	for _, pair := range []Pair{
		result.FirstTokenP50Us, result.InterTokenP50Us, result.RequestAllocs, result.RequestCPU,
	} {
		c.Check(pair.Direct > 0, qt.IsTrue, qt.Commentf("%+v", result))
		c.Check(pair.Routed > 0, qt.IsTrue, qt.Commentf("%+v", result))
	}
}

// BenchmarkRouted and BenchmarkDirect send one request each, for profiling.
func BenchmarkRouted(b *testing.B) { benchmark(b, func(b *bench) target { return b.routed }) }
func BenchmarkDirect(b *testing.B) { benchmark(b, func(b *bench) target { return b.direct }) }

func benchmark(b *testing.B, pick func(*bench) target) {
	ctx := context.Background()
	measured, err := start(ctx, tokenTime)
	if err != nil {
		b.Fatal(err)
	}
	defer measured.close()
	if err := measured.warm(ctx); err != nil {
		b.Fatal(err)
	}
	t, data := pick(measured), body(costTokens)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := measured.stream(ctx, t, data); err != nil {
			b.Fatal(err)
		}
	}
}
