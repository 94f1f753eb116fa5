package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// Marks around the generated part of the page.
const (
	beginMark = "<!-- tables: begin; written by `stoatctl capacity` -->"
	endMark   = "<!-- tables: end -->"
)

// Page returns the page old with its tables generated from measurements. An empty
// page gets a title and the marks first.
func Page(old string, measurements []Measurement) (string, error) {
	if strings.TrimSpace(old) == "" {
		old = "# Capacity\n\n" + beginMark + "\n" + endMark + "\n"
	}
	before, rest, found := strings.Cut(old, beginMark)
	if !found {
		return "", errors.Errorf("the page has no mark %s", beginMark)
	}
	_, after, found := strings.Cut(rest, endMark)
	if !found {
		return "", errors.Errorf("the page has no mark %s", endMark)
	}
	return before + beginMark + "\n" + tables(measurements) + endMark + after, nil
}

func tables(measurements []Measurement) string {
	var text strings.Builder
	roles := Roles(measurements)
	writeTotals(&text, roles)
	for _, role := range roles {
		writeRole(&text, role)
	}
	writeMissing(&text, roles)
	writeLines(&text, measurements)
	return text.String()
}

// writeTotals writes the resources for control in a router with every role but
// that of a ledger appender, and in one that appends a shard, too.
func writeTotals(text *strings.Builder, roles []Role) {
	withoutShard, withShard := make(map[Quantity]float64), make(map[Quantity]float64)
	for _, role := range roles {
		for _, row := range role.Rows {
			if !row.Control {
				continue
			}
			withShard[row.Quantity] += row.Value
			if !row.AppenderOnly {
				withoutShard[row.Quantity] += row.Value
			}
		}
	}
	fmt.Fprintf(text, "\n## Control in one router\n\nThe sum of all roles below. 322 of 330 routers append no shard of the ledger, 8 append one.\n\n")
	fmt.Fprintf(text, "| quantity | budget | without a shard | used | with a shard | used |\n| --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, line := range []struct {
		quantity Quantity
		budget   float64
	}{{Messages, budgetBytes}, {CPU, budgetCPU}, {Memory, budgetMemory}} {
		q := line.quantity
		fmt.Fprintf(text, "| %s | %s | %s | %.0f %% | %s | %.0f %% |\n", q, formatAmount(q, line.budget),
			formatAmount(q, withoutShard[q]), withoutShard[q]/line.budget*100, formatAmount(q, withShard[q]), withShard[q]/line.budget*100)
	}
}

func writeRole(text *strings.Builder, role Role) {
	fmt.Fprintf(text, "\n## %s\n\n%s\n\n| quantity | what | arithmetic | figure |\n| --- | --- | --- | ---: |\n", capitalize(role.Name), role.Mechanism)
	for _, row := range role.Rows {
		figure := formatAmount(row.Quantity, row.Value)
		switch {
		case !row.Measured:
			figure = "not measured"
		case row.Quantity == State:
			figure = ""
		case !row.Control:
			figure += ", not in the sum"
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s |\n", row.Quantity, row.What, row.Arithmetic, figure)
	}
}

// writeMissing lists the figures without a measurement.
func writeMissing(text *strings.Builder, roles []Role) {
	var missing []string
	for _, role := range roles {
		for _, row := range role.Rows {
			if !row.Measured {
				missing = append(missing, fmt.Sprintf("- %s: %s (%s)\n", role.Name, row.What, row.Arithmetic))
			}
		}
	}
	if len(missing) > 0 {
		fmt.Fprintf(text, "\n## Not measured\n\n%s", strings.Join(missing, ""))
	}
}

// writeLines lists the fitted lines of all measurements.
func writeLines(text *strings.Builder, measurements []Measurement) {
	fmt.Fprintf(text, "\n## The measured lines\n\n| measurement | fixed + slope | sizes | off by | command |\n| --- | --- | --- | ---: | --- |\n")
	for i := range measurements {
		m := &measurements[i]
		for j := range m.Series {
			series := &m.Series[j]
			line := series.Fit()
			var sizes []string
			for _, p := range series.Points {
				sizes = append(sizes, formatNumber(p.Size))
			}
			fmt.Fprintf(text, "| `%s/%s` | %s + %s × %s, %s | %s | %.0f %% | `%s` |\n", m.Name, series.Name,
				formatNumber(line.Intercept), formatNumber(line.Slope), series.Per, series.Unit, strings.Join(sizes, ", "), line.MaxError*100, m.Command)
		}
	}
	text.WriteString("\n")
}

func capitalize(text string) string {
	return strings.ToUpper(text[:1]) + text[1:]
}

// formatAmount formats a figure of quantity with its unit.
func formatAmount(quantity Quantity, value float64) string {
	switch quantity {
	case Messages:
		return fmt.Sprintf("%s B/s", formatNumber(value))
	case CPU:
		return fmt.Sprintf("%s µs/s", formatNumber(value))
	case Memory:
		return fmt.Sprintf("%.2f MiB", value/(1<<20))
	default:
		return ""
	}
}

// formatNumber formats value with three significant digits, and whole from 1,000.
func formatNumber(value float64) string {
	if math.Abs(value) >= 1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
