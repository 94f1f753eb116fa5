package operate

import (
	"maps"
	"slices"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/lab/demo"
	"github.com/stoatmount/stoatmount/process/logging"
)

// errViolated is returned by a command whose run violated a guarantee.
var errViolated = errors.New("a promise was broken")

// DemoCmd is `stoatctl demo`.
type DemoCmd struct {
	JSON
	Seconds float64 `help:"How long callers send requests." default:"20" placeholder:"N"`
	Seed    uint64  `help:"Seed of the callers and the stand-ins." default:"1" placeholder:"S"`
	Log     string  `help:"Write the routers' logs to standard error at this level." placeholder:"LEVEL"`
}

// Help implements kong.HelpProvider.
func (*DemoCmd) Help() string {
	return `Runs a small fleet on loopback inside this process: 7 routers in 3 availability
zones, stand-ins for 9 model workers, 3 booking workers and the platform, and
callers that continue chats and book booths. One zone is taken out of service
and returned to service. Nothing outside this process is used.

The counts come from the callers and the stand-ins. The exit status is 1 if a
guarantee was violated.

Examples:

  stoatctl demo
  stoatctl demo --seconds 60 --json`
}

// Run runs the demonstration.
func (c *DemoCmd) Run(env *Env) error {
	options := demo.Options{Seconds: c.Seconds, Seed: c.Seed, Log: logr.Discard()}
	if c.Log != "" {
		options.Log = logging.New(env.Err, c.Log)
	}
	if env.Terminal && !c.JSON.JSON {
		options.Progress = func(p demo.Progress) { env.showProgress(&p) }
	}
	result, err := demo.Run(env.Context, options)
	if err != nil {
		return err
	}
	if c.JSON.JSON {
		err = env.writeJSON(result)
	} else {
		env.showDemo(&result)
	}
	if err != nil {
		return err
	}
	if result.Failed() {
		return errViolated
	}
	return nil
}

// showProgress overwrites the progress line.
func (e *Env) showProgress(p *demo.Progress) {
	e.printf("\r\x1b[K%5.1f s  %-22s  sent %5d  in time %5d  refused %3d  unknown %2d  in progress %3d  ",
		p.Elapsed.Seconds(), p.Stage, p.Counts.Sent, p.Counts.InTime, p.Counts.NotRun, p.Counts.Unknown, p.InProgress)
}

// showDemo prints the result as text.
func (e *Env) showDemo(r *demo.Result) {
	if e.Terminal {
		e.printf("\r\x1b[K")
	}
	e.printf("%d requests in %.1f s, %d once and in time, %d refused as not run, %d with unknown outcome\n\n",
		r.Sent, r.Seconds, r.CompletedOnceInTime, r.RefusedNotRun, r.OutcomeUnknown)
	e.showKinds(r)
	e.printf("\ncache reuse of returning chats   %5.1f %%\n", 100*r.CacheReuse)
	e.printf("load skew, most loaded to mean   %5.2f\n", r.LoadSkew)
	e.printf("control traffic per router       %5.0f B/s\n", r.ControlBytesPerRouterSecond)
	e.printf("appends to the log               %5.1f /s\n", r.LogAppendsPerSecond)
	e.printf("zone %s out after %d ms, last new work there after %d ms\n", r.ZoneOut.Zone, r.ZoneOut.AcceptedMs, r.ZoneOut.LastArrivalMs)
	if !r.Failed() {
		e.printf("%s\n", e.colour(green, "no promise was broken"))
		return
	}
	e.printf("%s: %d ran more than once, %d falsely not run, %d wrong, %d over a cold cap, %d failed checks\n",
		e.colour(red, "promises were broken"), r.RanMoreThanOnce, r.FalseNotRun, r.WrongAnswers, r.ColdOverrun, r.InvariantViolations)
	for _, finding := range r.Findings {
		e.printf("  %s\n", finding)
	}
}

func (e *Env) showKinds(r *demo.Result) {
	e.printf("%-24s %6s %8s %8s %8s %10s\n", "kind", "sent", "in time", "refused", "unknown", "first p95")
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[kind]
		e.printf("%-24s %6d %8d %8d %8d %7.0f ms\n", kind, k.Sent, k.InTime, k.NotRun, k.Unknown, k.FirstTokenP95Ms)
	}
}
