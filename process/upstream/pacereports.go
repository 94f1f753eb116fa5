package upstream

import (
	"math"
	"time"
)

// PaceReport is a pace that an endpoint reported to a router, in hundredths, and the milliseconds since then.
type PaceReport [2]int64

// maxPaceReports bounds the reports in a heartbeat; the others are in the next one.
const maxPaceReports = 100

// maxPaceReportAge is the age from which a report is not passed on.
const maxPaceReportAge = 5 * time.Second

// paceReportChange is the relative difference from the expected pace from which a report is passed on.
const paceReportChange = 0.15

// isNews reports whether a report differs from what is expected without it.
func (p *pace) isNews(at time.Time, reported float64) bool {
	return math.Abs(reported/p.over(at, 0)-1) > paceReportChange
}

// TakePaceReports returns the last pace that each endpoint reported to this router since the last call, if it was news.
func (t *Table) TakePaceReports(now time.Time) map[string]PaceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list map[string]PaceReport
	for id, ep := range t.byID {
		if !ep.pace.toTell || len(list) == maxPaceReports {
			continue
		}
		ep.pace.toTell = false
		if age := now.Sub(ep.pace.at); age < maxPaceReportAge {
			if list == nil {
				list = make(map[string]PaceReport)
			}
			list[id] = PaceReport{int64(math.Round(100 * ep.pace.last)), age.Milliseconds()}
		}
	}
	return list
}

// MergePaceReports records what endpoints reported to another router.
func (t *Table) MergePaceReports(now time.Time, list map[string]PaceReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range list {
		ep := t.byID[id]
		if ep == nil || r[0] <= 0 || r[1] < 0 || r[1] >= maxPaceReportAge.Milliseconds() {
			continue
		}
		t.recordPace(now.Add(-time.Duration(r[1])*time.Millisecond), ep, float64(r[0])/100, false)
	}
}
