package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are the results of the requests of one kind.
type Counts struct {
	Sent    int `json:"sent"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	NotRun  int `json:"refused_not_run"`
	Ran     int `json:"refused_ran"`
	Unknown int `json:"outcome_unknown"`
	Wrong   int `json:"wrong"`

	Attempts        int `json:"tries"`
	Unsent          int `json:"tries_unsent"` // no connection to the address
	Lost            int `json:"tries_lost"`   // no response
	Interrupted     int `json:"tries_cut"`    // response broke off
	StoredResponses int `json:"stored_answers"`

	PromptTokens int64 `json:"prompt_tokens"` // of continued chats
	CachedTokens int64 `json:"cached_tokens"` // of these, cached

	FirstTokenP50Ms float64 `json:"first_token_p50_ms"`
	FirstTokenP95Ms float64 `json:"first_token_p95_ms"`
}

// Result holds the results as seen by the callers.
type Result struct {
	Kinds    []KindCounts    // in the order of the options
	Requests []RequestRecord // all requests, in order of completion
}

// KindCounts are the counts of one kind.
type KindCounts struct {
	Kind string
	Counts
}

// Total returns the sum over all kinds, without latencies.
func (r *Result) Total() Counts {
	var sum Counts
	for i := range r.Kinds {
		sum.add(&r.Kinds[i].Counts)
	}
	return sum
}

func (c *Counts) add(other *Counts) {
	c.Sent += other.Sent
	c.InTime += other.InTime
	c.Late += other.Late
	c.NotRun += other.NotRun
	c.Ran += other.Ran
	c.Unknown += other.Unknown
	c.Wrong += other.Wrong
	c.Attempts += other.Attempts
	c.Unsent += other.Unsent
	c.Lost += other.Lost
	c.Interrupted += other.Interrupted
	c.StoredResponses += other.StoredResponses
	c.PromptTokens += other.PromptTokens
	c.CachedTokens += other.CachedTokens
}

// Bounds and precision of the latency histograms, in microseconds.
const (
	longestLatencyUs = int64(time.Hour / time.Microsecond)
	latencyDigits    = 3
)

// results collects request records. It is safe for concurrent use.
type results struct {
	mu       sync.Mutex
	kinds    []kindResults
	requests []RequestRecord
}

type kindResults struct {
	counts     KindCounts
	firstToken *hdrhistogram.Histogram // microseconds
}

func newResults(kinds []Kind) *results {
	r := &results{kinds: make([]kindResults, len(kinds))}
	for i := range kinds {
		r.kinds[i].counts.Kind = kinds[i].Name
		r.kinds[i].firstToken = hdrhistogram.New(1, longestLatencyUs, latencyDigits)
	}
	return r
}

func (r *results) add(q *request, record *RequestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, *record)
	index := slices.IndexFunc(r.kinds, func(k kindResults) bool { return k.counts.Kind == record.Kind })
	kind := &r.kinds[index]
	kind.counts.count(record)
	if record.Verdict != InTime && record.Verdict != Late {
		return
	}
	if q.continued {
		kind.counts.PromptTokens += int64(record.Prompt)
		kind.counts.CachedTokens += int64(record.Cached)
	}
	_ = kind.firstToken.RecordValue(min(record.FirstToken.Microseconds(), longestLatencyUs))
}

func (c *Counts) count(record *RequestRecord) {
	c.Sent++
	switch record.Verdict {
	case InTime:
		c.InTime++
	case Late:
		c.Late++
	case NotRun:
		c.NotRun++
	case Ran:
		c.Ran++
	case Wrong:
		c.Wrong++
	default:
		c.Unknown++
	}
	c.Attempts += record.Attempts
	c.Unsent += record.Unsent
	c.Lost += record.Lost
	c.Interrupted += record.Interrupted
	if record.StoredResponse {
		c.StoredResponses++
	}
}

// snapshot returns the results so far.
func (r *results) snapshot() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := Result{Requests: slices.Clone(r.requests)}
	for i := range r.kinds {
		counts := r.kinds[i].counts
		counts.FirstTokenP50Ms = quantileMs(r.kinds[i].firstToken, 50)
		counts.FirstTokenP95Ms = quantileMs(r.kinds[i].firstToken, 95)
		result.Kinds = append(result.Kinds, counts)
	}
	return result
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}
