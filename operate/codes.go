package operate

import (
	"fmt"
	"strings"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// CodesCmd is `stoatctl codes`.
type CodesCmd struct {
	JSON
	Markdown bool `help:"Write the table of docs/CODES.md."`
}

// Run lists the codes.
func (c *CodesCmd) Run(env *Env) error {
	if c.JSON.JSON {
		return env.writeJSON(codeRows())
	}
	if c.Markdown {
		env.printf("%s", codesMarkdown())
		return nil
	}
	rows := &table{env: env}
	for _, info := range outcome.Codes() {
		rows.add(int(info.Code), info.Name, info.Status, info.Text)
	}
	rows.write("")
	return nil
}

// codesMarkdown returns the table of docs/CODES.md.
func codesMarkdown() string {
	var text strings.Builder
	text.WriteString("| code | name | HTTP status | meaning |\n| ---: | --- | ---: | --- |\n")
	for _, info := range outcome.Codes() {
		fmt.Fprintf(&text, "| %d | `%s` | %d | %s |\n", int(info.Code), info.Name, info.Status, info.Text)
	}
	return text.String()
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
