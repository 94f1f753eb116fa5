package burnreport

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/version/config"
)

// scale is the time span of the plots and the width of their bars.
type scale struct {
	span       time.Duration
	binMinutes int64
}

// The scales of the plots. The short one is used until counting has gone on for its span.
var (
	shortScale = scale{span: time.Hour, binMinutes: 1}
	longScale  = scale{span: 6 * time.Hour, binMinutes: 5}
)

// bins is the number of bars in the plots.
func (s scale) bins() int64 {
	return int64(s.span/time.Minute) / s.binMinutes
}

// scale returns the scale of the plots of r.
func (r *Report) scale() scale {
	if r.At.Sub(r.Since) < shortScale.span {
		return shortScale
	}
	return longScale
}

// pairs are the alerting windows: burn over both must exceed the threshold. The
// long one shows that the burn is significant, the short one that it continues. Of
// a budget for 30 days, a burn of 14.4 uses 2 % in 1 h, and of 6 uses 5 % in 6 h.
var pairs = []Pair{
	{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4},
	{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6},
}

// Report is the service-level burn of a fleet.
type Report struct {
	At    time.Time `json:"at"`
	Since time.Time `json:"since"` // start of counting
	Kinds []Kind    `json:"kinds"`
	// Outages are the targets' periods out of service within the span of longScale, oldest first.
	Outages []Outage `json:"outages"`
	Routers Routers  `json:"routers"`
	// Caveats describes what the figures do not include.
	Caveats []string `json:"not_known"`
}

// Routers counts the router processes that the figures come from.
type Routers struct {
	Live         int `json:"live"`   // answered
	Unresponsive int `json:"silent"` // live, but did not answer
	Ended        int `json:"ended"`  // ended after a final report: all their counts are included
	Lost         int `json:"lost"`   // ended without a final report
}

// Kind is the burn of one kind of request.
type Kind struct {
	Kind      string      `json:"kind"`
	Objective float64     `json:"objective"`
	Requests  uint64      `json:"requests"`
	Counts    burn.Counts `json:"counts"`
	// Share is the share of requests served once and in time; 1 without requests.
	Share float64 `json:"share"`
	// BudgetUsed is the part of the allowed failures used up since counting began.
	BudgetUsed float64  `json:"budget_used"`
	Pairs      []Pair   `json:"pairs"`
	Bins       []Bin    `json:"bins"` // oldest first
	Windows    []Window `json:"windows"`
}

// Pair is a long and a short window with one threshold.
type Pair struct {
	Name      string        `json:"name"`
	Long      time.Duration `json:"long_ns"`
	Short     time.Duration `json:"short_ns"`
	Threshold float64       `json:"threshold"`
	// Burning is true if burn is above the threshold over both windows.
	Burning bool `json:"burning"`
}

// Window is the burn over the time before the report. A burn of 1 uses up the
// budget exactly over its period, 10 in a tenth of it.
type Window struct {
	Length   time.Duration `json:"length_ns"`
	Requests uint64        `json:"requests"`
	Bad      uint64        `json:"bad"`
	Burn     float64       `json:"burn"`
	// Complete is false if counting began after the window did.
	Complete bool `json:"covered"`
}

// Bin is the counts of one bar of the plots.
type Bin struct {
	Start  time.Time   `json:"start"`
	Counts burn.Counts `json:"counts"`
	// Burn is the burn over the hour that ends with the bar.
	Burn float64 `json:"burn"`
}

// Outage is a period in which a target was out of service.
type Outage struct {
	Target config.Target `json:"target"`
	From   time.Time     `json:"from"`
	To     time.Time     `json:"to"` // zero: still out of service
	By     string        `json:"by"`
}

// New computes the report.
func New(counters api.Burn, changes []api.Change) Report {
	r := Report{
		At:      counters.At,
		Since:   since(counters),
		Outages: outages(changes, counters.Out, counters.At),
		Routers: routers(counters),
	}
	r.Caveats = caveats(r, counters)
	for _, counted := range counters.Kinds {
		r.Kinds = append(r.Kinds, newKind(counted, r))
	}
	return r
}

func since(counters api.Burn) time.Time {
	first := counters.At
	for _, process := range counters.Processes {
		if process.Started.Before(first) {
			first = process.Started
		}
	}
	return first
}

func newKind(counted api.KindCounts, r Report) Kind {
	k := Kind{Kind: counted.Kind, Objective: counted.Objective, Counts: counted.Total, Requests: counted.Total.Requests()}
	k.Share = 1
	if k.Requests > 0 {
		k.Share = float64(k.Counts.InTime) / float64(k.Requests)
	}
	k.BudgetUsed = burnOf(k.Counts, k.Objective)
	minutes := make(map[int64]burn.Counts, len(counted.Minutes))
	for _, minute := range counted.Minutes {
		minutes[minute.Unix] = minute.Counts
	}
	k.fillWindows(minutes, r)
	k.fillBins(minutes, r)
	return k
}

// burnOf returns the share of bad requests divided by the share that the objective allows.
func burnOf(counts burn.Counts, objective float64) float64 {
	if counts.Requests() == 0 || objective <= 0 || objective >= 1 {
		return 0
	}
	bad := float64(counts.Bad()) / float64(counts.Requests())
	return bad / (1 - objective)
}

// sum returns the counts of the minutes in (last-n, last].
func sum(minutes map[int64]burn.Counts, last, n int64) burn.Counts {
	var total burn.Counts
	for minute := last - n + 1; minute <= last; minute++ {
		total = total.Add(minutes[minute])
	}
	return total
}

// fillWindows sets Windows and Pairs; addWindow appends a window and returns its burn.
func (k *Kind) fillWindows(minutes map[int64]burn.Counts, r Report) {
	addWindow := func(length time.Duration) float64 {
		counts := sum(minutes, burn.MinuteOf(r.At), int64(length/time.Minute))
		window := Window{
			Length:   length,
			Requests: counts.Requests(),
			Bad:      counts.Bad(),
			Burn:     burnOf(counts, k.Objective),
			Complete: !r.Since.After(r.At.Add(-length)),
		}
		k.Windows = append(k.Windows, window)
		return window.Burn
	}
	for _, pair := range pairs {
		short, long := addWindow(pair.Short), addWindow(pair.Long)
		pair.Burning = short > pair.Threshold && long > pair.Threshold
		k.Pairs = append(k.Pairs, pair)
	}
	slices.SortFunc(k.Windows, func(a, b Window) int { return int(a.Length - b.Length) })
}

func (k *Kind) fillBins(minutes map[int64]burn.Counts, r Report) {
	const hourMinutes = 60
	last, scale := burn.MinuteOf(r.At), r.scale()
	for barsAfter := scale.bins() - 1; barsAfter >= 0; barsAfter-- {
		end := last - barsAfter*scale.binMinutes
		k.Bins = append(k.Bins, Bin{
			Start:  time.Unix((end-scale.binMinutes+1)*60, 0).UTC(),
			Counts: sum(minutes, end, scale.binMinutes),
			Burn:   burnOf(sum(minutes, end, hourMinutes), k.Objective),
		})
	}
}

// outages returns when targets were out of service within the span of longScale, from the
// history, newest first, and the marks in force.
func outages(changes []api.Change, marks []config.OutOfService, at time.Time) []Outage {
	var all []Outage
	open := make(map[config.Target]int)
	for _, change := range slices.Backward(changes) {
		if change.Target == nil || !change.Accepted {
			continue
		}
		i, isOut := open[*change.Target]
		switch {
		case change.Out && !isOut:
			open[*change.Target] = len(all)
			all = append(all, Outage{Target: *change.Target, From: change.At, By: change.Author})
		case !change.Out && isOut:
			all[i].To = change.At
			delete(open, *change.Target)
		}
	}
	for _, mark := range marks {
		if _, known := open[mark.Target]; !known {
			all = append(all, Outage{Target: mark.Target, From: mark.Since, By: mark.Author})
		}
	}
	slices.SortStableFunc(all, func(a, b Outage) int { return a.From.Compare(b.From) })
	return slices.DeleteFunc(all, func(o Outage) bool { return !o.To.IsZero() && o.To.Before(at.Add(-longScale.span)) })
}

func routers(counters api.Burn) Routers {
	counts := Routers{Unresponsive: len(counters.Unresponsive)}
	for _, process := range counters.Processes {
		switch {
		case process.Live && slices.Contains(counters.Unresponsive, process.Host):
		case process.Live:
			counts.Live++
		case process.Final:
			counts.Ended++
		default:
			counts.Lost++
		}
	}
	return counts
}
