package reconcile

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed unless one is given; rapid writes no failure files.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
