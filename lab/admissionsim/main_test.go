package admissionsim

import (
	"flag"
	"os"
	"testing"
)

// Default seed and number of random histories; flags override them.
const (
	defaultSeed   = "1"
	defaultChecks = "25"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": defaultChecks} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
