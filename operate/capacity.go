package operate

import (
	"os"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/lab/capacity"
)

// CapacityCmd is `stoatctl capacity`.
type CapacityCmd struct {
	Page         string `help:"Page whose tables are regenerated." default:"docs/CAPACITY.md" placeholder:"FILE"`
	Measurements string `help:"Directory with the measurements." default:"docs/measurements" placeholder:"DIR"`
	Measure      bool   `help:"Repeat the measurements first; takes two minutes."`
}

// Help implements kong.HelpProvider.
func (*CapacityCmd) Help() string {
	return `Computes the resources that each role needs at the design size of the fleet
from the measurements, and regenerates the tables of the page. Text outside the
tables is kept.

Examples:

  stoatctl capacity
  stoatctl capacity --measure`
}

// Run writes the page.
func (c *CapacityCmd) Run(env *Env) error {
	if c.Measure {
		if err := c.measure(env); err != nil {
			return err
		}
	}
	measured, err := capacity.Load(c.Measurements)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(c.Page)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read page")
	}
	page, err := capacity.Page(string(old), measured)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Page, []byte(page), 0o644); err != nil {
		return errors.Wrap(err, "write page")
	}
	env.printf("%s: written from %d measurements\n", c.Page, len(measured))
	return nil
}

func (c *CapacityCmd) measure(env *Env) error {
	entry, err := capacity.MeasureEntry(env.Context)
	if err != nil {
		return err
	}
	if err := c.save(env, entry); err != nil {
		return err
	}
	for _, probe := range capacity.Probes() {
		if err := c.save(env, probe()); err != nil {
			return err
		}
	}
	return nil
}

// save writes a measurement to its file and prints its fitted lines.
func (c *CapacityCmd) save(env *Env, measured capacity.Measurement) error {
	if err := measured.Save(c.Measurements); err != nil {
		return err
	}
	env.printf("%s: measured\n", measured.Name)
	for i := range measured.Series {
		series := &measured.Series[i]
		line := series.Fit()
		env.printf("  %s: %.4g + %.4g x %s, in %s, off by %.0f%%\n", series.Name, line.Intercept, line.Slope, series.Per, series.Unit, line.MaxError*100)
	}
	return nil
}
