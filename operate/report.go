package operate

import (
	"bytes"
	"fmt"
	"time"

	"github.com/stoatmount/stoatmount/operate/burnreport"
)

// outageHistory is the number of changes that are searched for outages.
const outageHistory = 1000

// ReportCmd is `stoatctl report`.
type ReportCmd struct {
	Burn ReportBurnCmd `cmd:"" help:"Show the objective, the result and the burn of each kind."`
}

// ReportBurnCmd is `stoatctl report burn`.
type ReportBurnCmd struct {
	JSON
	Connection
	HTML  string `help:"Write a page with plots to this file." placeholder:"FILE"`
	Force bool   `help:"Overwrite the file."`
}

// Run writes the report.
func (c *ReportBurnCmd) Run(env *Env) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	counters, err := cl.Burn(env.Context)
	if err != nil {
		return err
	}
	history, err := cl.History(env.Context, outageHistory)
	if err != nil {
		return err
	}
	report := burnreport.New(counters, history.Changes)
	if c.HTML != "" {
		if err := c.writePage(report); err != nil {
			return err
		}
	}
	if c.JSON.JSON {
		return env.writeJSON(report)
	}
	writeBurn(env, report)
	if c.HTML != "" {
		env.printf("\n%s: written\n", c.HTML)
	}
	return nil
}

func (c *ReportBurnCmd) writePage(report burnreport.Report) error {
	var page bytes.Buffer
	if err := burnreport.HTML(&page, report); err != nil {
		return err
	}
	return writeFile(c.HTML, page.Bytes(), c.Force)
}

func writeBurn(env *Env, r burnreport.Report) {
	env.printf("service-level burn at %s, counted since %s\n", r.At.UTC().Format(time.RFC3339), r.Since.UTC().Format(time.RFC3339))
	for _, outage := range r.Outages {
		if outage.To.IsZero() {
			env.printf("%s: %s %s since %s by %s\n", env.colour(yellow, "out of service"), outage.Target.Scope, outage.Target.Name, outage.From.UTC().Format(time.RFC3339), outage.By)
		}
	}
	env.printf("\n")
	rows := &table{env: env}
	rows.add(cell{"KIND", bold}, cell{"PROMISED", bold}, cell{"KEPT", bold}, cell{"REQUESTS", bold}, cell{"LATE", bold}, cell{"NOT RUN", bold},
		cell{"FAILED", bold}, cell{"UNKNOWN", bold}, cell{"BUDGET USED", bold}, cell{"BURN 5m", bold}, cell{"30m", bold}, cell{"1h", bold}, cell{"6h", bold}, cell{"", bold})
	for _, k := range r.Kinds {
		row := []any{k.Kind, share(k.Objective), share(k.Share), k.Requests, k.Counts.Late, k.Counts.NotRun, k.Counts.Failed, k.Counts.Unknown, share(k.BudgetUsed)}
		for _, window := range k.Windows {
			mark := ""
			if !window.Complete {
				mark = "*"
			}
			row = append(row, fmt.Sprintf("%.1f%s", window.Burn, mark))
		}
		rows.add(append(row, verdictCell(k))...)
	}
	rows.write("")
	env.printf("* counting began after this window did\n\nwhat these figures cannot know:\n")
	for _, note := range r.Caveats {
		env.printf("  - %s\n", note)
	}
}

func share(value float64) string {
	return fmt.Sprintf("%.2f%%", value*100)
}

func verdictCell(k burnreport.Kind) cell {
	verdict := burnreport.VerdictOf(k)
	switch verdict {
	case burnreport.VerdictMet:
		return cell{string(verdict), green}
	case burnreport.VerdictNoRequests:
		return cell{string(verdict), dim}
	default:
		return cell{string(verdict), red}
	}
}
