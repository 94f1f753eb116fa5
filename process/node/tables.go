package node

import (
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/reconcile"
)

// durationWeight is the weight of the newest request in the moving average.
const durationWeight = 0.1

// maxDurationRise bounds the times that are averaged, as a multiple of the
// average.
const maxDurationRise = 4

// durations estimates how long endpoints take per kind.
type durations struct {
	mu     sync.Mutex
	byKind map[string]time.Duration
}

func newDurations() *durations {
	return &durations{byKind: make(map[string]time.Duration)}
}

func (d *durations) add(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.byKind[kind]
	if !ok {
		d.byKind[kind] = took
		return
	}
	took = min(took, maxDurationRise*old)
	d.byKind[kind] = old + time.Duration(durationWeight*float64(took-old))
}

// of returns the estimate for kind, or 0 if none was seen.
func (d *durations) of(kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind]
}

// loadTable keeps the last load report of each endpoint that was asked.
type loadTable struct {
	mu      sync.Mutex
	byName  map[string]reconcile.Report
	leaving map[string]time.Time // since when each leaving endpoint is known to leave
}

func newLoadTable() *loadTable {
	return &loadTable{byName: make(map[string]reconcile.Report), leaving: make(map[string]time.Time)}
}

func (t *loadTable) put(now time.Time, endpoint string, report protocol.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byName[endpoint] = reconcile.Report{LoadReport: report, At: now}
	if !report.Draining {
		delete(t.leaving, endpoint)
	} else if _, known := t.leaving[endpoint]; !known {
		t.leaving[endpoint] = now
	}
}

// leavingSince returns since when the endpoint is known to leave; zero if it is
// not.
func (t *loadTable) leavingSince(endpoint string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving[endpoint]
}

func (t *loadTable) get(endpoint string) (reconcile.Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.byName[endpoint]
	return report, ok
}

// duties remembers since when this router has held each duty.
type duties struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newDuties() *duties {
	return &duties{since: make(map[string]time.Time)}
}

// held notes whether the duty is held at now and returns since when; zero if
// it is not.
func (d *duties) held(now time.Time, duty string, holds bool) time.Time {
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
