package matrix

import (
	"fmt"
	"sort"
	"strings"
)

// Command regenerates docs/FAULTS.md.
const Command = "go test ./lab/matrix -run TestWholeMatrix -whole -pairs 1 -workers 6 -timeout 60m -page $PWD/docs/FAULTS.md"

// Markdown returns the page with the results.
func (r *Result) Markdown() string {
	var page strings.Builder
	single, pairs := r.split()
	fmt.Fprintf(&page, "# What faults do\n\nThis page is written by the run itself:\n\n    %s\n\n", Command)
	fmt.Fprintf(&page, "Seed %d, %d cells with one fault and %d with a pair, %.0f s. ", r.Seed, len(single), len(pairs), r.DurationSeconds)
	fmt.Fprintf(&page, "Cells with a broken promise: %d. Cells not run: %d.\n\n", r.FailedCells, r.NotRun)
	page.WriteString("Every cell runs on a fleet of three routers, four engines and two services on loopback. A cell is broken if a\n" +
		"non-idempotent request ran twice, a refusal said not run of a request that an endpoint took in, an answer was wrong\n" +
		"or was given to a request that never ran, an invariant of a router failed, or service did not come back. Callers\n" +
		"send each request once, without a retry of their own; a booking is sent a second time where the cell says so.\n" +
		"Pauses, islands, one-way links and clocks are not here but in the random histories (lab/histories).\n\n")
	writeViolations(&page, r.Cells)
	page.WriteString("## One fault\n\n")
	writeTable(&page, single)
	page.WriteString("\n## Two faults at once\n\nWhat callers got over all pairs, by subject and step.\n\n")
	writeSummary(&page, pairs)
	return page.String()
}

func (r *Result) split() (single, pairs []CellResult) {
	for _, c := range r.Cells {
		switch len(c.Faults) {
		case 0:
		case 1:
			single = append(single, c)
		default:
			pairs = append(pairs, c)
		}
	}
	return single, pairs
}

func writeViolations(page *strings.Builder, cells []CellResult) {
	page.WriteString("## Broken promises\n\n")
	noViolations := true
	for _, c := range cells {
		if len(c.Violations) > 0 {
			noViolations = false
			fmt.Fprintf(page, "- %s, %s, %s: %s\n", c.Subject, c.Step, strings.Join(c.Faults, " and "), strings.Join(c.Violations, "; "))
		}
	}
	if noViolations {
		page.WriteString("None.\n")
	}
	page.WriteString("\n")
}

func writeTable(page *strings.Builder, cells []CellResult) {
	page.WriteString("| what | step | fault | what callers got | ran twice |\n|---|---|---|---|---|\n")
	for _, c := range cells {
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s |\n", c.Subject, c.Step, c.Faults[0], strings.Join(c.Observed, "; "), c.ranTwice())
	}
}

// ranTwice returns "YES" if checkExecutions reported that a booking ran more than once. It parses that text.
func (c *CellResult) ranTwice() string {
	for _, b := range c.Violations {
		if strings.Contains(b, " ran ") && strings.HasSuffix(b, " times") {
			return "YES"
		}
	}
	return "no"
}

func writeSummary(page *strings.Builder, cells []CellResult) {
	page.WriteString("| what | step | cells | what callers got | ran twice |\n|---|---|---|---|---|\n")
	type group struct {
		cells, twice int
		got          map[string]int
	}
	groups := make(map[string]*group)
	var order []string
	for _, c := range cells {
		key := c.Subject + " | " + c.Step
		g := groups[key]
		if g == nil {
			g = &group{got: make(map[string]int)}
			groups[key] = g
			order = append(order, key)
		}
		g.cells++
		if c.ranTwice() != "no" {
			g.twice++
		}
		for _, text := range c.Observed {
			g.got[text]++
		}
	}
	sort.Strings(order)
	for _, key := range order {
		g := groups[key]
		fmt.Fprintf(page, "| %s | %d | %s | %d |\n", key, g.cells, countsOf(g.got), g.twice)
	}
}

func countsOf(got map[string]int) string {
	texts := make([]string, 0, len(got))
	for text := range got {
		texts = append(texts, text)
	}
	sort.Slice(texts, func(i, j int) bool {
		if got[texts[i]] != got[texts[j]] {
			return got[texts[i]] > got[texts[j]]
		}
		return texts[i] < texts[j]
	})
	for i, text := range texts {
		texts[i] = fmt.Sprintf("%d x %s", got[text], text)
	}
	return strings.Join(texts, "; ")
}
