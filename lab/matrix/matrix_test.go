package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Flags for a run of the whole matrix; stoatctl faults does the same.
var (
	whole   = flag.Bool("whole", false, "run the whole matrix")
	pairs   = flag.Int("pairs", 0, "steps of each subject at which every pair of faults is brought")
	workers = flag.Int("workers", 4, "fleets at the same time")
	only    = flag.String("only", "", "subject to run")
	page    = flag.String("page", "", "file to write the table to")
)

// TestWholeMatrix runs the matrix and writes its table.
func TestWholeMatrix(t *testing.T) {
	if !*whole {
		t.Skip("run with -whole")
	}
	result, err := Run(context.Background(), Options{Seed: 1, Workers: *workers, Pairs: *pairs, Only: *only}, os.Stdout)
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d cells, %d broken, %d not run, %d fleets did not heal, %.0f s", len(result.Cells), result.Broken, result.NotRun, result.Retired, result.Took)
	if *page != "" {
		qt.Assert(t, os.WriteFile(*page, []byte(result.Markdown()), 0o600), qt.IsNil)
	}
	if result.Broken > 0 {
		t.Fail()
	}
}

// sampleOf is the share of the matrix that every test run covers, as a divisor.
const sampleOf = 45

func TestSampleOfTheMatrix(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{Seed: 1, Workers: 2, Every: sampleOf}, &out)
	c.Assert(err, qt.IsNil)
	c.Check(result.Broken, qt.Equals, 0, qt.Commentf("%s", out.String()))
	c.Check(result.NotRun, qt.Equals, 0)
	data, err := json.Marshal(result.Cells)
	c.Assert(err, qt.IsNil)
	t.Logf("%s", data)
}

// Healing waits for operators whose change is still on its way; else it finds all
// zones in service, and one goes out behind it.
func TestHealingWaitsForOperators(t *testing.T) {
	c := qt.New(t)
	b, err := newBench(t.Context(), 1, "late")
	c.Assert(err, qt.IsNil)
	c.Cleanup(b.fleet.Close)
	b.operators.Go(func() {
		sleep(t.Context(), 500*time.Millisecond)
		b.mark(t.Context(), "zone-b", true)
	})
	c.Assert(b.heal(t.Context()), qt.IsNil)
	sleep(t.Context(), time.Second)
	state, err := b.operator.Config(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(state.OutOfService, qt.HasLen, 0)
}
