package node

import (
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/reconcile"
)

// durationWeight is the weight of the newest request in the moving average.
const durationWeight = 0.1

// maxDurationRise caps a duration that is averaged, as a multiple of the average.
const maxDurationRise = 4

// durations estimates the time from grant to release of requests of each kind.
type durations struct {
	mu     sync.Mutex
	byKind map[string]time.Duration
}

func newDurations() *durations {
	return &durations{byKind: make(map[string]time.Duration)}
}

func (d *durations) add(kind string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.byKind[kind]
	if !ok {
		d.byKind[kind] = duration
		return
	}
	duration = min(duration, maxDurationRise*old)
	d.byKind[kind] = old + time.Duration(durationWeight*float64(duration-old))
}

// estimate returns the estimate for kind, or 0 if there is none.
func (d *durations) estimate(kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind]
}

// loadTable holds the last load report of each endpoint.
type loadTable struct {
	mu       sync.Mutex
	byName   map[string]reconcile.Report
	draining map[string]time.Time // time at which each draining endpoint was detected
}

func newLoadTable() *loadTable {
	return &loadTable{byName: make(map[string]reconcile.Report), draining: make(map[string]time.Time)}
}

func (t *loadTable) put(now time.Time, endpoint string, report protocol.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byName[endpoint] = reconcile.Report{LoadReport: report, At: now}
	if !report.Draining {
		delete(t.draining, endpoint)
	} else if _, known := t.draining[endpoint]; !known {
		t.draining[endpoint] = now
	}
}

// drainingSince returns when the draining endpoint was detected; zero if it is not
// draining.
func (t *loadTable) drainingSince(endpoint string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining[endpoint]
}

func (t *loadTable) get(endpoint string) (reconcile.Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.byName[endpoint]
	return report, ok
}

// duties tracks since when this router has had each duty or been out of service.
type duties struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newDuties() *duties {
	return &duties{since: make(map[string]time.Time)}
}

// update records whether the router has the duty and returns since when; zero if
// it does not.
func (d *duties) update(now time.Time, duty string, holds bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !holds {
		delete(d.since, duty)
		return time.Time{}
	}
	if _, ok := d.since[duty]; !ok {
		d.since[duty] = now
	}
	return d.since[duty]
}
