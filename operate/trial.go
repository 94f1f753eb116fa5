package operate

import (
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/lab/trial"
	"github.com/stoatmount/stoatmount/process/logging"
	"github.com/stoatmount/stoatmount/version/answers"
)

// TrialCmd is `stoatctl trial`.
type TrialCmd struct {
	File      string  `arg:"" help:"Filled-in questionnaire, with loopback addresses."`
	PerSecond float64 `help:"New callers of each kind per second; 0: none." default:"0" placeholder:"N"`
	KeySuffix string  `help:"Suffix of the callers' keys: a key is the workspace name followed by it." placeholder:"TEXT"`
	Seed      uint64  `help:"Seed of the callers and the stand-ins." default:"1" placeholder:"S"`
	Log       string  `help:"Write the routers' logs to standard error at this level." placeholder:"LEVEL"`
}

// Help implements kong.HelpProvider.
func (*TrialCmd) Help() string {
	return `Runs the fleet of a questionnaire on this machine until it is interrupted:
stand-ins for its workers and the platform at the loopback addresses of the
questionnaire, and a router for each entry host. No configuration is in force
at first; push one from another terminal.

Examples:

  stoatctl trial examples/voces-unidas/answers.toml
  stoatctl trial answers.toml --per-second 3 --key-suffix=-example-key`
}

// Run runs the trial.
func (c *TrialCmd) Run(env *Env) error {
	answered, err := answers.Load(c.File)
	if err != nil {
		return reportProblems(env, c.File, err, false)
	}
	options := trial.Options{Seed: c.Seed, PerSecond: c.PerSecond, Log: logr.Discard()}
	options.Config, _ = answers.Generate(answered)
	if c.KeySuffix != "" {
		options.Keys = func(workspace string) string { return workspace + c.KeySuffix }
	}
	if c.Log != "" {
		options.Log = logging.New(env.Err, c.Log)
	}
	for i := range answered.Hosts {
		if !answered.Hosts[i].Address.IsLoopback() {
			return errors.Errorf("address %v of host %s is not a loopback address", answered.Hosts[i].Address, answered.Hosts[i].Name)
		}
		options.Settings = append(options.Settings, hostSettings(&answered, &answered.Hosts[i]))
	}
	return trial.Run(env.Context, options, func() {
		env.printf("%d routers and %d workers are running; operator addresses:\n", len(options.Settings), len(options.Config.Endpoints))
		for _, s := range options.Settings {
			env.printf("  %s  %v\n", s.Host.Name, s.Listen.Operator)
		}
		env.printf("interrupt to end\n")
	})
}
