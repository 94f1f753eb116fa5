package speed

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

const (
	// slowStep is a step that keeps streams open while memory is measured.
	slowStep = 500 * time.Millisecond
	// openConcurrency is the number of streams opened concurrently.
	openConcurrency = 64
	// longTokens is the length of a response that stays open.
	longTokens = 1000
)

// streamMemory returns the memory per open stream without and with a router.
func streamMemory(ctx context.Context, streams int) (Pair, error) {
	var result Pair
	for _, measured := range []struct {
		into   *float64
		target func(*bench) target
	}{
		{&result.Direct, func(b *bench) target { return b.direct }},
		{&result.Routed, func(b *bench) target { return b.routed }},
	} {
		b, err := start(ctx, slowStep)
		if err != nil {
			return Pair{}, err
		}
		*measured.into, err = b.memory(ctx, measured.target(b), streams)
		b.close()
		if err != nil {
			return Pair{}, err
		}
	}
	return result, nil
}

// memory opens streams and returns the bytes in use of the whole process per stream.
func (b *bench) memory(ctx context.Context, t target, streams int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryInUse()
	opening := pool.NewWithResults[*http.Response]().WithErrors().WithMaxGoroutines(openConcurrency)
	for range streams {
		opening.Go(func() (*http.Response, error) { return b.openFirst(ctx, t) })
	}
	open, err := opening.Wait()
	used := memoryInUse() - before
	cancel()
	for _, response := range open {
		_ = response.Body.Close()
	}
	return float64(used) / float64(streams), err
}

// openFirst opens a stream and reads the start of its first token.
func (b *bench) openFirst(ctx context.Context, t target) (*http.Response, error) {
	response, err := b.open(ctx, t, body(longTokens))
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
		_ = response.Body.Close()
		return nil, errors.WithStack(err)
	}
	return response, nil
}

// memoryInUse returns the bytes of live heap and stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
