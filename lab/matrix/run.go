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

// Options select the part of the matrix to run.
type Options struct {
	Seed    uint64
	Workers int // number of concurrent fleets
	// Pairs is the number of steps of each subject at which every pair of
	// faults is injected; the seed selects them. 0: no pairs.
	Pairs int
	// Only restricts the run to one subject, if it is set.
	Only string
	// Every runs only one in Every cells, if it is above 1.
	Every int
}

// Result is the outcome of a run.
type Result struct {
	Seed            uint64       `json:"seed"`
	DurationSeconds float64      `json:"took_seconds"`
	Cells           []CellResult `json:"cells"`
	FailedCells     int          `json:"broken"`  // cells with a violated guarantee
	NotRun          int          `json:"not_run"` // cells that could not be run
	ReplacedFleets  int          `json:"retired"` // fleets that did not recover
}

// cellSpec specifies a cell to run.
type cellSpec struct {
	subject subject
	step    int
	faults  []injectedFault
}

// Run runs the matrix and reports cells with a violated guarantee to out.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	specs := cellSpecs(o)
	start := time.Now()
	result := Result{Seed: o.Seed, Cells: make([]CellResult, len(specs))}
	next := make(chan int)
	workers := pool.New().WithContext(ctx).WithCancelOnError()
	var mu sync.Mutex
	workers.Go(func(ctx context.Context) error {
		defer close(next)
		for i := range specs {
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
			return runWorker(ctx, o.Seed+uint64(w), fmt.Sprintf("m%d", w), specs, next, func(i int, cell CellResult, recovered bool) {
				mu.Lock()
				defer mu.Unlock()
				result.Cells[i] = cell
				if !recovered {
					result.ReplacedFleets++
				}
				if len(cell.Violations) > 0 {
					result.FailedCells++
					_, _ = fmt.Fprintf(out, "%s, %s, %v: %v; got %v\n", cell.Subject, cell.Step, cell.Faults, cell.Violations, cell.Observed)
				}
			})
		})
	}
	err := workers.Wait()
	result.DurationSeconds = time.Since(start).Seconds()
	for _, c := range result.Cells {
		if c.Subject == "" {
			result.NotRun++
		}
	}
	return result, err
}

// runWorker runs cells on a fleet of its own. A fleet that does not recover is
// replaced, and the cell counts as failed.
func runWorker(ctx context.Context, seed uint64, prefix string, specs []cellSpec, next <-chan int, done func(int, CellResult, bool)) error {
	b, err := newBench(ctx, seed, prefix)
	if err != nil {
		return err
	}
	defer func() { b.fleet.Close() }()
	for i := range next {
		p := specs[i]
		c := &cell{bench: b, ctx: ctx, subject: p.subject, step: p.step, faults: p.faults}
		result := c.run()
		recoveryErr := b.recoverService(ctx)
		if recoveryErr != nil {
			result.Violations = append(result.Violations, "service does not come back: "+recoveryErr.Error())
		}
		done(i, result, recoveryErr == nil)
		if recoveryErr != nil && ctx.Err() == nil {
			b.fleet.Close()
			seed += 100 // used by no other worker, if there are fewer than 100
			if b, err = newBench(ctx, seed, fmt.Sprintf("%s-%d", prefix, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// cellSpecs returns the cells of a run in a fixed order.
func cellSpecs(o Options) []cellSpec {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	faults := injectedFaults()
	var specs []cellSpec
	for _, s := range subjects() {
		if o.Only != "" && o.Only != s.name {
			continue
		}
		for step := range s.steps {
			for i := range faults {
				specs = append(specs, cellSpec{s, step, faults[i : i+1]})
			}
		}
		for i := range faults {
			for j := i + 1; j < len(faults) && o.Pairs > 0; j++ {
				for _, step := range rng.Perm(len(s.steps))[:min(o.Pairs, len(s.steps))] {
					specs = append(specs, cellSpec{s, step, []injectedFault{faults[i], faults[j]}})
				}
			}
		}
	}
	if o.Every <= 1 {
		return specs
	}
	var sampled []cellSpec
	for i := 0; i < len(specs); i += o.Every {
		sampled = append(sampled, specs[i])
	}
	return sampled
}

// sendAndDiscard sends one chat turn of another workspace and discards the response.
func (p *probe) sendAndDiscard(ctx context.Context, entry, name string) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"user":%q}`, name, responseTokens, name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Stoatmount-Workspace", otherWorkspace)
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
