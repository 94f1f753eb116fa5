package burnreport

import (
	"fmt"
	"html"
	"math"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/process/burn"
)

// Sizes of the plots, in pixels of the drawing.
const (
	plotWidth    = 760.0
	plotLeft     = 46.0
	plotRight    = 10.0
	plotTop      = 14.0
	plotBottom   = 22.0
	countsHeight = 150.0
	burnHeight   = 110.0
)

// Colours of the results, from good to bad. They also differ in lightness, so
// that they are distinguishable without colour.
var resultStyles = []struct {
	name   string
	colour string
	count  func(burn.Counts) uint64
}{
	{"once and in time", "#8fc9b0", func(c burn.Counts) uint64 { return c.InTime }},
	{"late", "#e9b949", func(c burn.Counts) uint64 { return c.Late }},
	{"refused, not run", "#5b7db1", func(c burn.Counts) uint64 { return c.NotRun }},
	{"failed", "#c0504d", func(c burn.Counts) uint64 { return c.Failed }},
	{"unknown", "#5c2e58", func(c burn.Counts) uint64 { return c.Unknown }},
}

// drawing builds one SVG.
type drawing struct {
	b      strings.Builder
	height float64
	scale  scale
	from   time.Time
	top    float64 // largest value of the vertical axis
}

func newDrawing(height float64, r *Report, top float64, title string) *drawing {
	scale := r.scale()
	d := &drawing{height: height, scale: scale, from: r.At.Add(-scale.span), top: top}
	d.addf(`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, plotWidth, height, html.EscapeString(title))
	return d
}

func (d *drawing) addf(format string, args ...any) {
	fmt.Fprintf(&d.b, format, args...)
	d.b.WriteByte('\n')
}

func (d *drawing) String() string {
	return d.b.String() + "</svg>"
}

// x returns the horizontal position of a time.
func (d *drawing) x(t time.Time) float64 {
	part := float64(t.Sub(d.from)) / float64(d.scale.span)
	return plotLeft + min(max(part, 0), 1)*(plotWidth-plotLeft-plotRight)
}

// y returns the vertical position of a value.
func (d *drawing) y(value float64) float64 {
	part := min(value/d.top, 1)
	return d.height - plotBottom - part*(d.height-plotTop-plotBottom)
}

// grid draws the axes: lines at values and six time labels.
func (d *drawing) grid(values []float64) {
	for _, value := range values {
		y := d.y(value)
		d.addf(`<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" class="grid"/>`, plotLeft, plotWidth-plotRight, y, y)
		d.addf(`<text x="%.1f" y="%.1f" text-anchor="end">%s</text>`, plotLeft-6, y+3.5, shortNumber(value))
	}
	step := d.scale.span / 6
	for t := d.from.Truncate(step).Add(step); !t.After(d.from.Add(d.scale.span)); t = t.Add(step) {
		x := d.x(t)
		d.addf(`<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" class="tick"/>`, x, x, d.height-plotBottom, d.height-plotBottom+4)
		d.addf(`<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`, x, d.height-6, t.UTC().Format("15:04"))
	}
}

// outages shades the periods in which targets were out of service.
func (d *drawing) outages(outages []Outage, at time.Time) {
	for _, outage := range outages {
		to := outage.To
		if to.IsZero() {
			to = at
		}
		if to.Before(d.from) {
			continue
		}
		x, end := d.x(outage.From), d.x(to)
		d.addf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" class="outage"><title>%s</title></rect>`,
			x, plotTop, max(end-x, 1), d.height-plotTop-plotBottom, html.EscapeString(outageText(outage)))
		labelX, anchor := x+3, "start"
		if x > plotWidth*0.85 {
			labelX, anchor = end, "end"
		}
		d.addf(`<text x="%.1f" y="%.1f" text-anchor="%s" class="outage-label">%s out</text>`, labelX, plotTop-3, anchor, html.EscapeString(outage.Target.Name))
	}
}

func outageText(o Outage) string {
	text := fmt.Sprintf("%s %s out of service from %s", o.Target.Scope, o.Target.Name, o.From.UTC().Format("15:04:05"))
	if o.To.IsZero() {
		return text + ", still out"
	}
	return text + " to " + o.To.UTC().Format("15:04:05")
}

// countsPlot draws the requests of each bin, stacked by result.
func countsPlot(k Kind, r Report) string {
	most := 0.0
	for _, bin := range k.Bins {
		most = max(most, float64(bin.Counts.Requests()))
	}
	top := niceTop(most)
	d := newDrawing(countsHeight, &r, top, "requests of "+k.Kind)
	d.grid([]float64{0, top / 2, top})
	width := (plotWidth-plotLeft-plotRight)/float64(len(k.Bins)) - 1.5
	for _, bin := range k.Bins {
		if bin.Counts.Requests() == 0 {
			continue
		}
		d.stack(bin, width)
	}
	d.outages(r.Outages, r.At)
	return d.String()
}

// stack draws one bar, bad results at the bottom.
func (d *drawing) stack(bin Bin, width float64) {
	title := fmt.Sprintf("%s, %d requests", bin.Start.Format("15:04"), bin.Counts.Requests())
	for _, style := range resultStyles {
		title += fmt.Sprintf(", %d %s", style.count(bin.Counts), style.name)
	}
	d.addf(`<g><title>%s</title>`, title)
	below := 0.0
	for i := len(resultStyles) - 1; i >= 0; i-- {
		count := float64(resultStyles[i].count(bin.Counts))
		if count == 0 {
			continue
		}
		y := d.y(below + count)
		d.addf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, d.x(bin.Start), y, width, d.y(below)-y, resultStyles[i].colour)
		below += count
	}
	d.addf(`</g>`)
}

// burnPlot draws the burn over the hour that ends with each bar. The vertical axis has a square
// root scale, so that small and large burns are both readable.
func burnPlot(k Kind, r Report) string {
	most := pairs[0].Threshold * 1.2
	for _, bin := range k.Bins {
		most = max(most, bin.Burn)
	}
	d := newDrawing(burnHeight, &r, math.Sqrt(most), "burn of "+k.Kind+" over the last hour")
	d.outages(r.Outages, r.At)
	d.grid(nil)
	d.level(0, "grid", "0")
	d.level(1, "one", "1")
	for _, pair := range k.Pairs {
		d.level(pair.Threshold, "threshold", shortNumber(pair.Threshold))
	}
	var points strings.Builder
	for _, bin := range k.Bins {
		end := bin.Start.Add(time.Duration(d.scale.binMinutes) * time.Minute)
		if end.Before(r.Since) {
			continue
		}
		fmt.Fprintf(&points, "%.1f,%.1f ", d.x(end), d.y(math.Sqrt(bin.Burn)))
	}
	d.addf(`<polyline points="%s" class="burn"/>`, strings.TrimSpace(points.String()))
	return d.String()
}

func (d *drawing) level(value float64, class, label string) {
	y := d.y(math.Sqrt(value))
	d.addf(`<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" class="%s"/>`, plotLeft, plotWidth-plotRight, y, y, class)
	d.addf(`<text x="%.1f" y="%.1f" text-anchor="end">%s</text>`, plotLeft-6, y+3.5, label)
}

// niceTop returns a round number that is at least value.
func niceTop(value float64) float64 {
	if value <= 2 {
		return 2
	}
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, factor := range []float64{1, 2, 4, 6, 8, 10} {
		if factor*power >= value {
			return factor * power
		}
	}
	return value
}

// shortNumber formats large numbers with k and M.
func shortNumber(value float64) string {
	switch {
	case value >= 1e6:
		return fmt.Sprintf("%gM", value/1e6)
	case value >= 1e4:
		return fmt.Sprintf("%gk", value/1e3)
	default:
		return fmt.Sprintf("%g", value)
	}
}
