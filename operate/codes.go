package operate

import (
	"fmt"
	"text/tabwriter"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// CodesCmd is `stoatctl codes`.
type CodesCmd struct {
	JSON
}

// Run lists the codes.
func (c *CodesCmd) Run(env *Env) error {
	if c.JSON.JSON {
		return env.writeJSON(codeRows())
	}
	table := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	for _, info := range outcome.Codes() {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%d\t%s\n", int(info.Code), info.Name, info.Status, info.Text)
	}
	return table.Flush()
}

// codeRow is one code in JSON.
type codeRow struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Status int    `json:"http_status"`
	Text   string `json:"text"`
}

func codeRows() []codeRow {
	var rows []codeRow
	for _, info := range outcome.Codes() {
		rows = append(rows, codeRow{Code: int(info.Code), Name: info.Name, Status: info.Status, Text: info.Text})
	}
	return rows
}
