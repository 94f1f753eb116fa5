package burn

import (
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the counters.
const (
	// keptMinutes covers the longest window of the report, six hours, and the
	// current minute.
	keptMinutes = 6*60 + 1
	// maxLatencyMs is the largest latency in a histogram; larger values are clamped
	// to it.
	maxLatencyMs = 30 * 60 * 1000
	// latencyDigits is the number of significant digits in a histogram.
	latencyDigits = 2
)

// Recorder counts the requests of this process. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	record Record // without kinds
	kinds  map[string]*kindCounters
	final  bool
}

type kindCounters struct {
	total     Counts
	minutes   [keptMinutes]Minute     // ring buffer, indexed by minute modulo keptMinutes
	firstByte *hdrhistogram.Histogram // in milliseconds since the arrival of the request
	lastByte  *hdrhistogram.Histogram
}

// NewRecorder returns the Recorder of the given incarnation of the router on
// host in zone.
func NewRecorder(host string, incarnation uint64, zone string, started time.Time) *Recorder {
	return &Recorder{
		record: Record{Host: host, Incarnation: incarnation, Zone: zone, Started: started},
		kinds:  make(map[string]*kindCounters),
	}
}

// Count counts a request of kind that ended now.
func (r *Recorder) Count(now time.Time, kind string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kind(kind)
	k.total = k.total.Add(result.counts())
	minute := MinuteOf(now)
	slot := &k.minutes[minute%keptMinutes]
	if slot.Unix != minute {
		*slot = Minute{Unix: minute}
	}
	slot.Counts = slot.Counts.Add(result.counts())
}

// RecordLatency records the times from the arrival of a request of kind to the first
// byte and to the end of its response.
func (r *Recorder) RecordLatency(kind string, firstByte, lastByte time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kind(kind)
	// The values are within the range of the histograms, so no error can occur.
	_ = k.firstByte.RecordValue(latencyMs(firstByte))
	_ = k.lastByte.RecordValue(latencyMs(lastByte))
}

func latencyMs(d time.Duration) int64 {
	return min(max(d.Milliseconds(), 0), maxLatencyMs)
}

func (r *Recorder) kind(name string) *kindCounters {
	k := r.kinds[name]
	if k == nil {
		k = &kindCounters{
			firstByte: hdrhistogram.New(1, maxLatencyMs, latencyDigits),
			lastByte:  hdrhistogram.New(1, maxLatencyMs, latencyDigits),
		}
		r.kinds[name] = k
	}
	return k
}

// MarkFinal marks later records as those of a process that shuts down cleanly.
func (r *Recorder) MarkFinal() {
	r.mu.Lock()
	r.final = true
	r.mu.Unlock()
}

// Snapshot returns the counters, with the minutes of the last six hours that are
// not before since.
func (r *Recorder) Snapshot(now, since time.Time) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.At, record.Final = now, r.final
	oldest := max(MinuteOf(since), MinuteOf(now)-keptMinutes+1)
	for _, name := range r.names() {
		k := r.kinds[name]
		record.Kinds = append(record.Kinds, KindRecord{
			Kind: name, Total: k.total, Minutes: k.since(oldest),
		})
	}
	return record
}

func (r *Recorder) names() []string {
	names := make([]string, 0, len(r.kinds))
	for name := range r.kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// since returns the minutes from oldest on that had requests, oldest first.
func (k *kindCounters) since(oldest int64) []Minute {
	var minutes []Minute
	for _, minute := range k.minutes {
		if minute.Unix >= oldest && minute.Counts.Requests() > 0 {
			minutes = append(minutes, minute)
		}
	}
	slices.SortFunc(minutes, func(a, b Minute) int { return int(a.Unix - b.Unix) })
	return minutes
}

// KindMetrics is the metrics of one kind since the process started.
type KindMetrics struct {
	Requests    uint64         `json:"requests"`
	Counts      Counts         `json:"counts"`
	FirstByteMs LatencySummary `json:"first_byte_ms"`
	LastByteMs  LatencySummary `json:"whole_ms"`
}

// LatencySummary summarises a histogram, in milliseconds.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func summary(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// Metrics returns the metrics by kind of request.
func (r *Recorder) Metrics() map[string]KindMetrics {
	r.mu.Lock()
	defer r.mu.Unlock()
	metrics := make(map[string]KindMetrics, len(r.kinds))
	for name, k := range r.kinds {
		metrics[name] = KindMetrics{
			Requests:    k.total.Requests(),
			Counts:      k.total,
			FirstByteMs: summary(k.firstByte),
			LastByteMs:  summary(k.lastByte),
		}
	}
	return metrics
}

// VarName is the name under which Var is published.
const VarName = "stoatmount.kinds"

// Var returns the metrics by kind as an expvar variable. The caller publishes it,
// since tests run several routers in one process.
func (r *Recorder) Var() expvar.Var {
	return expvar.Func(func() any { return r.Metrics() })
}
