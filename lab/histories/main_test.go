package histories

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"testing"
)

// Flags for a run of any length; stoatctl histories has the same.
var (
	histories = flag.Int("histories", 0, "number of random histories to run")
	steps     = flag.Int("steps", 200, "steps of each history")
	seed      = flag.Uint64("seed", 1, "seed of the first history")
	workers   = flag.Int("workers", 4, "number of concurrent histories")
)

// TestManyHistories runs the number of histories given by -histories.
func TestManyHistories(t *testing.T) {
	if *histories == 0 {
		t.Skip("run with -histories N")
	}
	result := Run(context.Background(), Options{Histories: *histories, Steps: *steps, Seed: *seed, Workers: *workers}, os.Stdout)
	counts, err := json.Marshal(result.Counts)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d violations in %d histories; %s", len(result.Violations), result.Histories, counts)
	if len(result.Violations) > 0 {
		t.Fail()
	}
}
