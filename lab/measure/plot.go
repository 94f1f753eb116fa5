package measure

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 10 // points
)

// savePlot draws one group of bars per workload, one bar per policy.
func (r *Report) savePlot(path string) error {
	if r.Plot == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = r.Name
	p.Y.Label.Text = r.Plot
	p.Y.Min = 0
	p.Legend.Top = true
	workloads := r.workloads()
	policies := r.policies()
	for i, policy := range policies {
		values := make(plotter.Values, len(workloads))
		for k, workload := range workloads {
			if f, ok := r.row(workload, policy).figure(r.Plot); ok {
				values[k] = f.Mean
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(workloads...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

func (r *Report) policies() []string {
	var names []string
	seen := make(map[string]bool)
	for _, row := range r.Rows {
		if !seen[row.Policy] {
			seen[row.Policy] = true
			names = append(names, row.Policy)
		}
	}
	return names
}
