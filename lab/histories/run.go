package histories

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Options select the histories to run.
type Options struct {
	Histories int
	Steps     int
	Seed      uint64 // of the first history; each next one adds 1
	Workers   int    // number of concurrent histories; 0: one
}

// Violation is a guarantee that did not hold.
type Violation struct {
	Seed      uint64 `json:"seed"`
	Step      int    `json:"step"`
	Guarantee string `json:"promise"`
	Evidence  string `json:"evidence"`
}

// Counts are the events of all histories. They show that no kind of event was missing.
type Counts struct {
	Chats          int `json:"chats"`         // routers that would serve a chat, at each step
	ChatsRefused   int `json:"chats_refused"` // routers that would refuse one, without a fresh configuration
	Claims         int `json:"claims"`        // non-idempotent requests sent
	Ran            int `json:"ran"`           // of them, dispatched
	Repeats        int `json:"repeats"`       // times that an earlier request was sent again
	Accepted       int `json:"accepted"`      // changes
	Rejected       int `json:"rejected"`      // changes
	Unknown        int `json:"unknown"`       // changes whose outcome was not reported
	Refused        int `json:"refused"`       // changes that were not appended
	Permits        int `json:"permits"`       // requests of the admission simulation that completed
	Faults         int `json:"faults"`
	LogAppends     int `json:"log_appends"`
	RepliesLost    int `json:"replies_lost"`
	RefusedNotRun  int `json:"refused_not_run"` // non-idempotent requests
	RefusedUnknown int `json:"refused_unknown"` // non-idempotent requests
	StoredAnswers  int `json:"stored_answers"`  // retries that got the stored response
	VirtualSeconds int `json:"virtual_seconds"`
	Restarts       int `json:"restarts"`
	Restored       int `json:"restored"` // histories in which records expired before some router read them
}

// Result is the result of a run of histories.
type Result struct {
	Histories  int         `json:"histories"`
	Steps      int         `json:"steps"`
	Seed       uint64      `json:"seed"`
	Violations []Violation `json:"broken"`
	Counts     Counts      `json:"counts"`
}

// Run runs o.Histories histories, fewer if ctx ends, and writes the violations of
// each history to out as soon as it ends.
func Run(ctx context.Context, o Options, out io.Writer) Result {
	result := Result{Steps: o.Steps, Seed: o.Seed}
	var mu sync.Mutex
	workers := pool.New().WithMaxGoroutines(max(1, o.Workers))
	for i := range o.Histories {
		if ctx.Err() != nil {
			break
		}
		workers.Go(func() {
			if ctx.Err() != nil {
				return
			}
			violations, counts := runHistory(o.Seed+uint64(i), o.Steps, noMutation)
			mu.Lock()
			defer mu.Unlock()
			result.add(violations, counts)
			for _, b := range violations {
				_, _ = fmt.Fprintf(out, "seed %d, step %d: %s: %s\n", b.Seed, b.Step, b.Guarantee, b.Evidence)
			}
		})
	}
	workers.Wait()
	slices.SortFunc(result.Violations, func(a, b Violation) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return result
}

func (r *Result) add(violations []Violation, c Counts) {
	r.Histories++
	r.Violations = append(r.Violations, violations...)
	t := &r.Counts
	t.Chats += c.Chats
	t.ChatsRefused += c.ChatsRefused
	t.Claims += c.Claims
	t.Ran += c.Ran
	t.Repeats += c.Repeats
	t.Accepted += c.Accepted
	t.Rejected += c.Rejected
	t.Unknown += c.Unknown
	t.Refused += c.Refused
	t.Permits += c.Permits
	t.Faults += c.Faults
	t.LogAppends += c.LogAppends
	t.RepliesLost += c.RepliesLost
	t.RefusedNotRun += c.RefusedNotRun
	t.RefusedUnknown += c.RefusedUnknown
	t.StoredAnswers += c.StoredAnswers
	t.VirtualSeconds += c.VirtualSeconds
	t.Restarts += c.Restarts
	t.Restored += c.Restored
}

// runHistory runs the history of one seed.
func runHistory(seed uint64, steps int, mutated mutation) ([]Violation, Counts) {
	h := newHistory(seed, mutated)
	h.fleet.Run(8 * time.Second)
	h.simulation.StartTraffic()
	for h.step = range steps {
		h.runStep()
		h.fleet.Run(time.Duration(50+h.rng.IntN(900)) * time.Millisecond)
		h.check()
		if len(h.violations) > 0 {
			break
		}
	}
	if len(h.violations) == 0 {
		h.recover()
	}
	h.finishCounts()
	return h.violations, h.counts
}
