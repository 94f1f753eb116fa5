package operate

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/lab/measure"
)

// MeasureCmd is `stoatctl measure`.
type MeasureCmd struct {
	JSON
	Name  string `arg:"" optional:"" help:"Measurement to run; default: list the names."`
	Seed  uint64 `default:"1" help:"Seed of the first run."`
	Seeds int    `default:"5" help:"Number of runs, each with the next seed."`
	Jobs  int    `default:"4" help:"Runs in parallel."`
	Out   string `type:"path" help:"Directory for the JSON file, the table and the plot."`
	Small bool   `help:"Only the smallest workload."`
}

// Run runs the measurement. It returns an error if a target is missed.
func (c *MeasureCmd) Run(env *Env) error {
	if c.Name == "" {
		env.printf("%s\n", strings.Join(measure.Names(), "\n"))
		return nil
	}
	options := measure.Options{Seed: c.Seed, Seeds: c.Seeds, Workers: c.Jobs, Small: c.Small}
	report, err := measure.Run(c.Name, options)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := report.Save(c.Out); err != nil {
			return err
		}
	}
	if err := c.show(env, report); err != nil {
		return err
	}
	if n := report.Failed(); n > 0 {
		return errors.Errorf("%d targets of %s are missed", n, c.Name)
	}
	return nil
}

func (c *MeasureCmd) show(env *Env, report *measure.Report) error {
	if c.JSON.JSON {
		return env.writeJSON(report)
	}
	return report.WriteTable(env.Out)
}
