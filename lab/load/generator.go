package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

// Generator sends a load. It is safe for concurrent use.
type Generator struct {
	options Options
	clock   clockwork.Clock
	result  *results

	mu       sync.Mutex
	entryRng *rand.Rand // for the order in which entry hosts are tried
}

// New returns a generator for options.
func New(options Options) (*Generator, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Generator{
		options:  options,
		clock:    options.Clock,
		result:   newResults(options.Kinds),
		entryRng: rand.New(rand.NewPCG(options.Seed, 0x656e747279)), // ASCII "entry"
	}, nil
}

// Run sends the load until ctx ends, then waits for the requests in progress.
// Chats send no further turns once ctx has ended.
func (g *Generator) Run(ctx context.Context) Result {
	callers := pool.New().WithMaxGoroutines(g.options.MaxCallers)
	var arrivals conc.WaitGroup
	for i := range g.options.Kinds {
		arrivals.Go(func() { g.startCallers(ctx, i, callers) })
	}
	arrivals.Wait()
	callers.Wait()
	return g.Result()
}

// Result returns the results so far.
func (g *Generator) Result() Result {
	return g.result.snapshot()
}

// startCallers starts the callers of one kind at random times.
func (g *Generator) startCallers(ctx context.Context, kind int, callers *pool.Pool) {
	k := &g.options.Kinds[kind]
	if k.PerSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(g.options.Seed, uint64(kind)+1))
	caches := make([]*addressCache, len(g.options.Workspaces))
	for i, workspace := range g.options.Workspaces {
		caches[i] = &addressCache{generator: g, workspace: workspace.Name, kind: k.Name}
	}
	for n := 0; ; n++ {
		wait := time.Duration(rng.ExpFloat64() / k.PerSecond * float64(time.Second))
		if !g.sleep(ctx, wait) {
			return
		}
		index := rng.IntN(len(caches))
		c := &caller{
			generator: g, kind: k, number: n,
			workspace: g.options.Workspaces[index], addresses: caches[index],
			rng: rand.New(rand.NewPCG(g.options.Seed^rng.Uint64(), uint64(kind))),
		}
		callers.Go(func() { c.run(ctx) })
	}
}

// sleep waits for d. It returns false if ctx ends first.
func (g *Generator) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-g.clock.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (g *Generator) shuffledEntries() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := slices.Clone(g.options.Entries)
	g.entryRng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}
