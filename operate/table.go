package operate

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// table is a text table with aligned columns. Unlike text/tabwriter it ignores
// colour codes in the column widths.
type table struct {
	env  *Env
	rows [][]cell
}

type cell struct {
	text   string
	colour string
}

// add adds a row. A value that is not a cell becomes one without colour.
func (t *table) add(cells ...any) {
	row := make([]cell, len(cells))
	for i, value := range cells {
		if c, ok := value.(cell); ok {
			row[i] = c
			continue
		}
		row[i] = cell{text: fmt.Sprint(value)}
	}
	t.rows = append(t.rows, row)
}

// write prints the table with indent before each row.
func (t *table) write(indent string) {
	var widths []int
	for _, row := range t.rows {
		for i, c := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(c.text))
		}
	}
	for _, row := range t.rows {
		var line strings.Builder
		line.WriteString(indent)
		for i, c := range row {
			text := c.text
			if c.colour != "" {
				text = t.env.colour(c.colour, text)
			}
			line.WriteString(text)
			if i < len(row)-1 {
				line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c.text)+2))
			}
		}
		t.env.printf("%s\n", strings.TrimRight(line.String(), " "))
	}
}
