package burnreport

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"counts":   func(k Kind, r Report) template.HTML { return template.HTML(countsPlot(k, r)) },
	"burnplot": func(k Kind, r Report) template.HTML { return template.HTML(burnPlot(k, r)) },
	"percent":  percent,
	"used":     formatUsed,
	"times":    formatBurn,
	"length":   formatLength,
	"when":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"outage":   outageText,
	"verdict":  VerdictOf,
	"width":    func(used float64) string { return fmt.Sprintf("%.1f%%", min(used, 1)*100) },
	"short":    func(n uint64) string { return groupDigits(n) },
	"bar":      func(r Report) int64 { return r.scale().binMinutes },
	"legend":   func() any { return legend() },
}).Parse(pageText))

// HTML writes the report as one self-contained page.
func HTML(w io.Writer, r Report) error {
	return errors.Wrap(page.Execute(w, r), "write page")
}

// percent formats a share, with a third decimal if it is close to 1.
func percent(share float64) string {
	digits := 2
	if share > 0.999 && share < 1 {
		digits = 3
	}
	return trimZeros(fmt.Sprintf("%.*f", digits, share*100)) + " %"
}

// formatUsed formats the part of a budget that was used.
func formatUsed(part float64) string {
	return fmt.Sprintf("%.0f %%", part*100)
}

func trimZeros(number string) string {
	return strings.TrimRight(strings.TrimRight(number, "0"), ".")
}

func formatBurn(burn float64) string {
	if burn >= 100 {
		return fmt.Sprintf("%.0f", burn)
	}
	return fmt.Sprintf("%.1f", burn)
}

func formatLength(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%g h", d.Hours())
	}
	return fmt.Sprintf("%g min", d.Minutes())
}

// groupDigits formats n with narrow spaces between thousands.
func groupDigits(n uint64) string {
	text := fmt.Sprint(n)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "\u202f" + text[i:]
	}
	return text
}

// legendEntry is one colour of the plots.
type legendEntry struct {
	Name   string
	Colour template.CSS
}

func legend() []legendEntry {
	var entries []legendEntry
	for _, style := range resultStyles {
		entries = append(entries, legendEntry{style.name, template.CSS(style.colour)})
	}
	return entries
}

// Verdict is the state of a kind against its objective.
type Verdict string

// The values of Verdict.
const (
	VerdictNoRequests Verdict = "no requests"
	VerdictMet        Verdict = "kept"
	VerdictBurning    Verdict = "burning"
	VerdictMissed     Verdict = "missed"
)

// VerdictOf returns the state of k: burning if a pair of windows alerts, missed
// if more than the budget was used up since counting began.
func VerdictOf(k Kind) Verdict {
	for _, pair := range k.Pairs {
		if pair.Burning {
			return VerdictBurning
		}
	}
	switch {
	case k.Requests == 0:
		return VerdictNoRequests
	case k.BudgetUsed > 1:
		return VerdictMissed
	default:
		return VerdictMet
	}
}
