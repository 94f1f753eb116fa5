package operate

import (
	"runtime"

	"github.com/stoatmount/stoatmount/lab/histories"
)

// HistoriesCmd is `stoatctl histories`.
type HistoriesCmd struct {
	JSON
	Histories int    `default:"1000" help:"Number of random histories."`
	Steps     int    `default:"200" help:"Steps of each history."`
	Seed      uint64 `default:"1" help:"Seed of the first history; each next one adds 1."`
	Jobs      int    `help:"Histories run in parallel; default: half of the CPUs." placeholder:"N"`
}

// Help implements kong.HelpProvider.
func (*HistoriesCmd) Help() string {
	return `Runs random histories of several routers under a virtual clock: concurrent
operators, hosts that flap, pause and crash, a log that loses replies and fails,
network partitions. The guarantees are checked at every step. A violation is
printed with the seed that reproduces it, and the exit status is 1.

Examples:

  stoatctl histories --histories 10000
  stoatctl histories --histories 1 --seed 4711`
}

// Run runs the histories.
func (c *HistoriesCmd) Run(env *Env) error {
	jobs := c.Jobs
	if jobs <= 0 {
		jobs = max(1, runtime.NumCPU()/2)
	}
	options := histories.Options{Histories: c.Histories, Steps: c.Steps, Seed: c.Seed, Workers: jobs}
	result := histories.Run(env.Context, options, env.Err)
	if c.JSON.JSON {
		if err := env.writeJSON(result); err != nil {
			return err
		}
	} else {
		env.showHistories(&result)
	}
	if len(result.Violations) > 0 {
		return errViolated
	}
	return nil
}

func (e *Env) showHistories(r *histories.Result) {
	n := &r.Counts
	e.printf("%d histories of %d steps from seed %d, %d virtual seconds: %d promises broken\n",
		r.Histories, r.Steps, r.Seed, n.VirtualSeconds, len(r.Violations))
	e.printf("changes       %d accepted, %d rejected, %d refused, %d unknown\n", n.Accepted, n.Rejected, n.Refused, n.Unknown)
	e.printf("claims        %d, %d repeats, %d dispatched, %d refused as not run, %d as unknown\n",
		n.Claims, n.Repeats, n.Ran, n.RefusedNotRun, n.RefusedUnknown)
	e.printf("permits       %d granted\n", n.Permits)
	e.printf("faults        %d, %d restarts, %d replies lost of %d appends\n", n.Faults, n.Restarts, n.RepliesLost, n.LogAppends)
}
