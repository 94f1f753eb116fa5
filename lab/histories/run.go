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

// Options say what to run.
type Options struct {
	Histories int
	Steps     int
	Seed      uint64 // of the first history; the next ones follow it
	Workers   int    // histories at the same time; 0: one
}

// Broken is a promise that did not hold.
type Broken struct {
	Seed     uint64 `json:"seed"`
	Step     int    `json:"step"`
	Promise  string `json:"promise"`
	Evidence string `json:"evidence"`
}

// Counts tell what happened in histories, so that it can be seen that they
// were not empty.
type Counts struct {
	Chats          int `json:"chats"`           // dispatched
	ChatsRefused   int `json:"chats_refused"`   // for want of a fresh configuration
	Claims         int `json:"claims"`          // non-idempotent requests sent
	Ran            int `json:"ran"`             // of them, dispatched
	Repeats        int `json:"repeats"`         // claims with a key that was used before
	Accepted       int `json:"accepted"`        // changes
	Rejected       int `json:"rejected"`        // changes
	Unknown        int `json:"unknown"`         // changes whose outcome was not told
	Refused        int `json:"refused"`         // changes that the log did not take
	Permits        int `json:"permits"`         // requests admitted by owners
	Faults         int `json:"faults"`          //
	LogAppends     int `json:"log_appends"`     //
	RepliesLost    int `json:"replies_lost"`    //
	RefusedNotRun  int `json:"refused_not_run"` // non-idempotent requests
	RefusedUnknown int `json:"refused_unknown"` // non-idempotent requests
	StoredAnswers  int `json:"stored_answers"`  // repeats that got the first answer
	VirtualSeconds int `json:"virtual_seconds"` //
	Restarts       int `json:"restarts"`        //
	Restored       int `json:"restored"`        // histories in which all records had expired while no router knew them
}

// Result is what a run of histories showed.
type Result struct {
	Histories  int      `json:"histories"`
	Steps      int      `json:"steps"`
	Seed       uint64   `json:"seed"`
	Violations []Broken `json:"broken"`
	Counts     Counts   `json:"counts"`
}

// Run runs histories until ctx ends and writes each broken promise to out as
// soon as it is seen.
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
			broken, counts := runOne(o.Seed+uint64(i), o.Steps, wholeSystem)
			mu.Lock()
			defer mu.Unlock()
			result.add(broken, counts)
			for _, b := range broken {
				_, _ = fmt.Fprintf(out, "seed %d, step %d: %s: %s\n", b.Seed, b.Step, b.Promise, b.Evidence)
			}
		})
	}
	workers.Wait()
	slices.SortFunc(result.Violations, func(a, b Broken) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return result
}

func (r *Result) add(broken []Broken, c Counts) {
	r.Histories++
	r.Violations = append(r.Violations, broken...)
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

// runOne runs the history of one seed.
func runOne(seed uint64, steps int, broken sabotage) ([]Broken, Counts) {
	w := newWorld(seed, broken)
	w.fleet.Run(8 * time.Second)
	w.site.StartTraffic()
	for w.step = range steps {
		w.act()
		w.fleet.Run(time.Duration(50+w.rng.IntN(900)) * time.Millisecond)
		w.check()
		if len(w.broken) > 0 {
			break
		}
	}
	if len(w.broken) == 0 {
		w.recover()
	}
	w.finishCounts()
	return w.broken, w.counts
}
