package matrix

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/stoatmount/stoatmount/connection/operator/api"
)

// Options say which part of the matrix to run.
type Options struct {
	Seed    uint64
	Workers int // fleets at the same time
	// Pairs is the number of steps of each subject at which every pair of
	// faults is brought; the seed chooses them. 0: no pairs.
	Pairs int
	// Only restricts the run to one subject, if it is set.
	Only string
	// Every runs only one in so many cells, if it is above 1.
	Every int
}

// Result is the outcome of a run.
type Result struct {
	Seed    uint64  `json:"seed"`
	Took    float64 `json:"took_seconds"`
	Cells   []Cell  `json:"cells"`
	Broken  int     `json:"broken"`  // cells with a broken promise
	NotRun  int     `json:"not_run"` // cells that could not be run
	Retired int     `json:"retired"` // fleets that did not heal
}

// plan is a cell to run.
type plan struct {
	subject subject
	step    int
	faults  []trouble
}

// Run runs the matrix and reports cells with a broken promise to out.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	plans := plansOf(o)
	began := time.Now()
	result := Result{Seed: o.Seed, Cells: make([]Cell, len(plans))}
	next := make(chan int)
	workers := pool.New().WithContext(ctx).WithCancelOnError()
	var mu sync.Mutex
	workers.Go(func(ctx context.Context) error {
		defer close(next)
		for i := range plans {
			select {
			case next <- i:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	for w := range max(1, o.Workers) {
		workers.Go(func(ctx context.Context) error {
			return work(ctx, o.Seed+uint64(w), fmt.Sprintf("m%d", w), plans, next, func(i int, cell Cell, healed bool) {
				mu.Lock()
				defer mu.Unlock()
				result.Cells[i] = cell
				if !healed {
					result.Retired++
				}
				if len(cell.Broken) > 0 {
					result.Broken++
					_, _ = fmt.Fprintf(out, "%s, %s, %v: %v; got %v\n", cell.Subject, cell.Step, cell.Faults, cell.Broken, cell.Got)
				}
			})
		})
	}
	err := workers.Wait()
	result.Took = time.Since(began).Seconds()
	for _, c := range result.Cells {
		if c.Subject == "" {
			result.NotRun++
		}
	}
	return result, err
}

// work runs cells on a fleet of its own. A fleet that does not heal is
// replaced, and the cell counts as broken.
func work(ctx context.Context, seed uint64, prefix string, plans []plan, next <-chan int, done func(int, Cell, bool)) error {
	b, err := newBench(ctx, seed, prefix)
	if err != nil {
		return err
	}
	defer func() { b.fleet.Close() }()
	for i := range next {
		p := plans[i]
		c := &cell{bench: b, ctx: ctx, subject: p.subject, step: p.step, faults: p.faults}
		result := c.run()
		healErr := b.heal(ctx)
		if healErr != nil {
			result.Broken = append(result.Broken, "service does not come back: "+healErr.Error())
		}
		done(i, result, healErr == nil)
		if healErr != nil && ctx.Err() == nil {
			b.fleet.Close()
			seed += 100
			if b, err = newBench(ctx, seed, fmt.Sprintf("%s-%d", prefix, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// plansOf lists the cells of a run in a fixed order.
func plansOf(o Options) []plan {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	faults := troubles()
	var plans []plan
	for _, s := range subjects() {
		if o.Only != "" && o.Only != s.name {
			continue
		}
		for step := range s.steps {
			for i := range faults {
				plans = append(plans, plan{s, step, faults[i : i+1]})
			}
		}
		for i := range faults {
			for j := i + 1; j < len(faults) && o.Pairs > 0; j++ {
				for _, step := range rng.Perm(len(s.steps))[:min(o.Pairs, len(s.steps))] {
					plans = append(plans, plan{s, step, []trouble{faults[i], faults[j]}})
				}
			}
		}
	}
	if o.Every <= 1 {
		return plans
	}
	var kept []plan
	for i := 0; i < len(plans); i += o.Every {
		kept = append(kept, plans[i])
	}
	return kept
}

// flood sends one chat of another workspace and drops its answer.
func (p *probe) flood(ctx context.Context, entry, name string) {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"user":%q}`, name, answerTokens, name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Stoatmount-Workspace", other)
	req.Header.Set("Stoatmount-Kind", chatKind)
	resp, err := p.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func asRefusal(err error, refusal **api.Refusal) bool {
	return errors.As(err, refusal)
}
