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

// Flags for a run of the whole matrix.
var (
	whole   = flag.Bool("whole", false, "run the whole matrix")
	pairs   = flag.Int("pairs", 0, "steps of each subject at which every pair of faults is injected")
	workers = flag.Int("workers", 4, "number of concurrent fleets")
	only    = flag.String("only", "", "subject to run")
	page    = flag.String("page", "", "file to write the table to")
)

// TestWholeMatrix runs the matrix and writes its page.
func TestWholeMatrix(t *testing.T) {
	if !*whole {
		t.Skip("run with -whole")
	}
	result, err := Run(context.Background(), Options{Seed: 1, Workers: *workers, Pairs: *pairs, Only: *only}, os.Stdout)
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d cells, %d failed, %d not run, %d fleets did not recover, %.0f s", len(result.Cells), result.FailedCells, result.NotRun, result.ReplacedFleets, result.DurationSeconds)
	if *page != "" {
		qt.Assert(t, os.WriteFile(*page, []byte(result.Markdown()), 0o600), qt.IsNil)
	}
	if result.FailedCells > 0 {
		t.Fail()
	}
}

// Every test run covers one cell in sampleDivisor.
const sampleDivisor = 45

func TestSampleOfTheMatrix(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{Seed: 1, Workers: 2, Every: sampleDivisor}, &out)
	c.Assert(err, qt.IsNil)
	c.Check(result.FailedCells, qt.Equals, 0, qt.Commentf("%s", out.String()))
	c.Check(result.NotRun, qt.Equals, 0)
	data, err := json.Marshal(result.Cells)
	c.Assert(err, qt.IsNil)
	t.Logf("%s", data)
}

// TestRecoveryWaitsForOperators guards against a recovery that finds all zones
// in service while a change in progress takes one out right after.
func TestRecoveryWaitsForOperators(t *testing.T) {
	c := qt.New(t)
	b, err := newBench(t.Context(), 1, "late")
	c.Assert(err, qt.IsNil)
	c.Cleanup(b.fleet.Close)
	b.operatorChanges.Go(func() {
		sleep(t.Context(), 500*time.Millisecond)
		b.markZone(t.Context(), "zone-b", true)
	})
	c.Assert(b.recoverService(t.Context()), qt.IsNil)
	sleep(t.Context(), time.Second)
	state, err := b.operator.Config(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(state.OutOfService, qt.HasLen, 0)
}
