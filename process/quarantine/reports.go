package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/process/suspect"
)

// due is how soon a record is reported; lower ones come first.
type due int

const (
	dueNow   due = iota // a request of this router quarantined it or ended its crashes
	dueLater            // it is quarantined
	dueLast             // a request of this router crashed an endpoint
	notDue
)

func (b *record) due(now time.Time) due {
	recent := now.Sub(b.changedAt) < reportFor
	switch {
	case recent && (b.Quarantined() || b.Crashes == 0):
		return dueNow
	case b.Quarantined():
		return dueLater
	case recent:
		return dueLast
	}
	return notDue
}

// Reports returns what the other routers should know: quarantined bodies and this
// router's recent changes. What does not fit is in the next ones.
func (t *Table) Reports(now time.Time) []Report {
	list := t.reports(now, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.due(now), b.due(now)), a.reportedAt.Compare(b.reportedAt))
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if b := t.records[r.Fingerprint]; b != nil && b.State == r.State {
			b.reportedAt = now
		}
	}
	return list
}

// Worst returns the Reports of the records with the most crashes, to be kept for routers
// that start.
func (t *Table) Worst(now time.Time) []Report {
	return t.reports(now, func(_, _ *record) int { return 0 })
}

// reports returns at most maxReports in an order; of equal ones those with the most crashes
// come first, then parts, as a part is in more requests than a body.
func (t *Table) reports(now time.Time, order func(a, b *record) int) []Report {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	type entry struct {
		f suspect.Fingerprint
		b *record
	}
	var list []entry
	for f, b := range t.records {
		if b.expired(now) {
			t.remove(f)
			continue
		}
		if b.due(now) != notDue {
			list = append(list, entry{f, b})
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(order(a.b, b.b), cmp.Compare(b.b.Crashes, a.b.Crashes), cmp.Compare(b.b.part, a.b.part),
			b.b.lastArrival.Compare(a.b.lastArrival), cmp.Compare(a.f, b.f))
	})
	var reports []Report
	for _, e := range list[:min(len(list), maxReports)] {
		b := e.b
		reports = append(reports, Report{Fingerprint: e.f, Part: b.part, With: b.with, State: b.State, QuietMS: now.Sub(b.lastArrival).Milliseconds(), Lost: b.lost})
	}
	return reports
}
