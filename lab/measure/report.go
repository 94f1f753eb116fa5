package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Figure is one measured quantity with its range over the seeds.
type Figure struct {
	Name string  `json:"name"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Row holds the figures of one policy on one workload.
type Row struct {
	Workload string   `json:"workload"`
	Policy   string   `json:"policy"`
	Figures  []Figure `json:"figures"`
}

// Check compares a figure with its target.
type Check struct {
	Name    string  `json:"name"`
	Target  float64 `json:"target"`
	Got     float64 `json:"got"` // the worst over the seeds
	AtLeast bool    `json:"least"`
	OK      bool    `json:"ok"`
}

// Report is the result of one measurement.
type Report struct {
	Name   string   `json:"name"`
	Seeds  []uint64 `json:"seeds"`
	Rows   []Row    `json:"rows"`
	Checks []Check  `json:"checks"`
	Plot   string   `json:"-"` // name of the figure that is plotted
}

// figure returns the figure called name of a row.
func (r *Row) figure(name string) (Figure, bool) {
	for _, f := range r.Figures {
		if f.Name == name {
			return f, true
		}
	}
	return Figure{}, false
}

// row returns the row of a policy on a workload. It adds the row if missing.
func (r *Report) row(workload, policy string) *Row {
	for i := range r.Rows {
		if r.Rows[i].Workload == workload && r.Rows[i].Policy == policy {
			return &r.Rows[i]
		}
	}
	r.Rows = append(r.Rows, Row{Workload: workload, Policy: policy})
	return &r.Rows[len(r.Rows)-1]
}

// add adds a figure with one value per seed.
func (r *Report) add(workload, policy, name string, values []float64) Figure {
	f := Figure{Name: name, Min: slices.Min(values), Max: slices.Max(values)}
	for _, v := range values {
		f.Mean += v / float64(len(values))
	}
	row := r.row(workload, policy)
	row.Figures = append(row.Figures, f)
	return f
}

// atLeast adds a check that got, the lowest over the seeds, is at least target.
func (r *Report) atLeast(name string, target, got float64) {
	r.Checks = append(r.Checks, Check{Name: name, Target: target, Got: got, AtLeast: true, OK: got >= target})
}

// atMost adds a check that got, the highest over the seeds, is at most target.
func (r *Report) atMost(name string, target, got float64) {
	r.Checks = append(r.Checks, Check{Name: name, Target: target, Got: got, OK: got <= target})
}

// Failed returns the number of missed targets.
func (r *Report) Failed() int {
	n := 0
	for _, c := range r.Checks {
		if !c.OK {
			n++
		}
	}
	return n
}

// WriteTable writes the figures as text: one line per figure and workload, one
// column per policy.
func (r *Report) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "%s, seeds %v, mean (least to most)\n", r.Name, r.Seeds)
	for _, workload := range r.workloads() {
		r.writeWorkload(out, workload)
	}
	for _, c := range r.Checks {
		_, _ = fmt.Fprintf(out, "%s\n", c.line())
	}
	return errors.Wrap(out.Flush(), "write table")
}

func (c *Check) line() string {
	result, relation := "MISSED", "at most"
	if c.OK {
		result = "met"
	}
	if c.AtLeast {
		relation = "at least"
	}
	return fmt.Sprintf("target %s: %s %.4g, got %.4g: %s", c.Name, relation, c.Target, c.Got, result)
}

func (r *Report) workloads() []string {
	var names []string
	for _, row := range r.Rows {
		if !slices.Contains(names, row.Workload) {
			names = append(names, row.Workload)
		}
	}
	return names
}

func (r *Report) writeWorkload(out io.Writer, workload string) {
	var rows []Row
	for _, row := range r.Rows {
		if row.Workload == workload {
			rows = append(rows, row)
		}
	}
	_, _ = fmt.Fprintf(out, "%s", workload)
	for _, row := range rows {
		_, _ = fmt.Fprintf(out, "\t%s", row.Policy)
	}
	_, _ = fmt.Fprintln(out)
	for _, name := range figureNames(rows) {
		_, _ = fmt.Fprintf(out, "  %s", name)
		for _, row := range rows {
			_, _ = fmt.Fprintf(out, "\t%s", cell(&row, name))
		}
		_, _ = fmt.Fprintln(out)
	}
}

func figureNames(rows []Row) []string {
	var names []string
	for _, row := range rows {
		for _, f := range row.Figures {
			if !slices.Contains(names, f.Name) {
				names = append(names, f.Name)
			}
		}
	}
	return names
}

func cell(row *Row, name string) string {
	f, ok := row.figure(name)
	switch {
	case !ok:
		return "-"
	case f.Min == f.Max:
		return fmt.Sprintf("%.4g", f.Mean)
	default:
		return fmt.Sprintf("%.4g (%.4g-%.4g)", f.Mean, f.Min, f.Max)
	}
}

// Save writes NAME.json, NAME.txt and, if there is something to plot, NAME.png to dir.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "output directory")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	base := filepath.Join(dir, r.Name)
	if err := os.WriteFile(base+".json", append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	table, err := os.Create(base + ".txt")
	if err != nil {
		return errors.Wrap(err, "write table")
	}
	if err := r.WriteTable(table); err != nil {
		return err
	}
	if err := table.Close(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return r.savePlot(base + ".png")
}
