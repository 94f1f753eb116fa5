package observe

import (
	"expvar"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/forward"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// servedLinesPerSecond and otherLinesPerSecond bound the log lines of requests that
	// were served at the first attempt, and of all others.
	servedLinesPerSecond = 60
	otherLinesPerSecond  = 120

	histogramLowest  = 1       // ms
	histogramHighest = 120_000 // ms
	histogramDigits  = 2
)

// Requests observes requests. It is safe for concurrent use.
type Requests struct {
	log logr.Logger

	results         *expvar.Map // by result code
	failures        *expvar.Map // failed attempts by kind of failure
	retries         expvar.Int
	resumed         expvar.Int
	dials           expvar.Int
	mismatched      expvar.Int
	relayed         expvar.Int
	takenOver       expvar.Int
	permits         *expvar.Map // by event
	malformedLoads  expvar.Int
	linesOverBudget expvar.Int // of the log

	mu                   sync.Mutex
	first                *hdrhistogram.Histogram // ms until the first byte
	complete             *hdrhistogram.Histogram // ms until the end of the response
	second               int64                   // in which the last request ended, Unix time
	servedLines          int
	otherLines           int
	overBudgetThisSecond int // log lines
}

// NewRequests returns an observer that publishes its metrics under the names in
// docs/METRICS.md. publish is expvar.Publish except in tests.
func NewRequests(log logr.Logger, publish func(name string, v expvar.Var)) *Requests {
	r := &Requests{log: log, results: new(expvar.Map).Init(), failures: new(expvar.Map).Init(), permits: new(expvar.Map).Init(),
		first:    hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		complete: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
	publish("requests_by_result", r.results)
	publish("attempts_failed", r.failures)
	publish("requests_repeated", &r.retries)
	publish("streams_resumed", &r.resumed)
	publish("endpoint_connections_opened", &r.dials)
	publish("requests_relayed", &r.relayed)
	publish("requests_of_other_routers", &r.takenOver)
	publish("answers_to_other_requests", &r.mismatched)
	publish("permits", r.permits)
	publish("endpoint_loads_malformed", &r.malformedLoads)
	publish("log_lines_over_budget", &r.linesOverBudget)
	publish("first_byte_ms", expvar.Func(func() any { return r.quantiles(r.first) }))
	publish("answer_ms", expvar.Func(func() any { return r.quantiles(r.complete) }))
	return r
}

// Quantiles summarises a histogram, in ms.
type Quantiles struct {
	Count              int64
	P50, P90, P99, Max int64
}

func (r *Requests) quantiles(h *hdrhistogram.Histogram) Quantiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Quantiles{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// Request implements forward.Observer.
func (r *Requests) Request(rec *forward.Record) {
	r.results.Add(rec.Code.String(), 1)
	for _, f := range rec.FailedAttempts {
		r.failures.Add(f.Failure.String(), 1)
	}
	if n := len(rec.Endpoints); n > 1 {
		r.retries.Add(int64(n - 1))
	}
	r.resumed.Add(int64(rec.Resumed))
	r.dials.Add(int64(rec.Dials))
	if len(rec.Relays) > 0 {
		r.relayed.Add(1)
	}
	if rec.Relayed {
		r.takenOver.Add(1)
	}
	r.mismatched.Add(int64(rec.MismatchedResponses))
	r.malformedLoads.Add(int64(rec.MalformedLoads))
	servedFirst := rec.Code == outcome.OK && len(rec.FailedAttempts) == 0
	if r.count(rec, servedFirst) {
		r.line(rec)
	}
}

// Permit implements forward.Observer.
func (r *Requests) Permit(e forward.PermitEvent) { r.permits.Add(string(e), 1) }

// count adds the request to the histograms and reports whether its line is within
// the budget.
func (r *Requests) count(rec *forward.Record, servedFirst bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.FirstByte > 0 {
		record(r.first, rec.FirstByte)
		record(r.complete, rec.Duration)
	}
	ended := rec.Arrived.Add(rec.Duration).Unix()
	if ended != r.second {
		if r.overBudgetThisSecond > 0 {
			r.log.Info("log lines left out", "reason", "budget of a second", "lines", r.overBudgetThisSecond)
		}
		r.second, r.servedLines, r.otherLines, r.overBudgetThisSecond = ended, 0, 0, 0
	}
	used, budget := &r.otherLines, otherLinesPerSecond
	if servedFirst {
		used, budget = &r.servedLines, servedLinesPerSecond
	}
	if *used >= budget {
		r.overBudgetThisSecond++
		r.linesOverBudget.Add(1)
		return false
	}
	*used++
	return true
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(d.Milliseconds(), histogramLowest), histogramHighest)
	_ = h.RecordValue(ms) // within the range
}

// line logs the decisions about a request and their inputs.
func (r *Requests) line(rec *forward.Record) {
	kv := make([]any, 0, 48)
	kv = append(kv, "request", rec.ID, "route", rec.Route, "config", rec.Version, "result", rec.Code.String(), "code", int(rec.Code),
		"status", rec.Status, "took_ms", rec.Duration.Milliseconds())
	if rec.Objective > 0 {
		kv = append(kv, "objective_ms", rec.Objective.Milliseconds())
	}
	if rec.FirstByte > 0 {
		kv = append(kv, "first_ms", rec.FirstByte.Milliseconds())
	}
	if len(rec.Endpoints) > 0 {
		kv = append(kv, "endpoints", rec.Endpoints, "versions", rec.EndpointVersions, "running", rec.LastGrant.Running, "entry_age_ms", rec.LastGrant.Age.Milliseconds())
		if rec.ReportedLoad > 0 {
			kv = append(kv, "reported", rec.ReportedLoad)
		}
		if rec.ReportedPace > 0 {
			kv = append(kv, "pace", hundredths(rec.ReportedPace))
		}
		if rec.LastGrant.Cold {
			kv = append(kv, "cold", true)
		}
		if rec.PromptKey != 0 {
			kv = append(kv, "key", strconv.FormatUint(rec.PromptKey, 16), "shared_tokens", rec.SharedTokens, "held", rec.LastGrant.KeyCached, "holders", rec.LastGrant.Holders)
		}
		if rec.LastGrant.FetchFrom != "" {
			kv = append(kv, "fetch_from", rec.LastGrant.FetchFrom)
		}
	} else {
		kv = append(kv, "method", rec.Method, "target", rec.Target)
	}
	if rec.Relayed {
		kv = append(kv, "relayed", true)
	}
	if len(rec.Relays) > 0 {
		kv = append(kv, "relays", rec.Relays)
	}
	if r := rec.Refusal; r != nil && r.Limit > 0 {
		kv = append(kv, "load", tenths(r.Running), "limit", tenths(r.Limit), "rank", r.PriorityRank)
	}
	if rec.Permit.Result != "" {
		kv = append(kv, "permit", rec.Permit.Result, "permit_owner", rec.Permit.Owner, "permit_ms", rec.Permit.Waited.Milliseconds())
	}
	if rec.RetryAfter > 0 {
		kv = append(kv, "retry_after_ms", rec.RetryAfter.Milliseconds())
	}
	if rec.Events > 0 {
		kv = append(kv, "events", rec.Events)
	}
	if rec.LastEventID >= 0 {
		kv = append(kv, "resumes", rec.Resumes, "last_event", rec.LastEventID)
	}
	if rec.Resumed > 0 {
		kv = append(kv, "resumed", rec.Resumed)
	}
	if rec.Draining > 0 {
		kv = append(kv, "draining_ms", rec.Draining.Milliseconds(), "reading_ms", rec.Reading.Milliseconds(), "others_ready", rec.Others.Ready, "others_unready", rec.Others.Unready)
	}
	if rec.Left > 0 {
		kv = append(kv, "left_ms", rec.Left.Milliseconds(), "bound_ms", rec.Bound.Milliseconds(), "longest_ms", rec.Longest.Milliseconds(), "last_resort", rec.LastResort)
	}
	if len(rec.Takeovers) > 0 {
		kv = append(kv, "takeovers", rec.Takeovers)
	}
	if rec.Ejected != "" {
		kv = append(kv, "left_out", rec.Ejected)
	}
	if rec.MismatchedResponses > 0 {
		kv = append(kv, "responses_discarded", rec.MismatchedResponses)
	}
	if rec.Error != "" {
		kv = append(kv, "error", rec.Error)
	}
	if rec.QuarantinedPart != 0 {
		kv = append(kv, "quarantined_part", strconv.FormatUint(rec.QuarantinedPart, 16))
	}
	if len(rec.FailedAttempts) > 0 {
		kv = append(kv, "failed", rec.FailedAttempts, "connections", connections(rec.Connections), "body", rec.Fingerprint.Key())
		if len(rec.Parts) > 0 {
			kv = append(kv, "parts", hexIDs(rec.Parts))
		}
	}
	r.log.Info("request", kv...)
}

// connections formats the connections of a request's attempts.
func connections(list []forward.Connection) []string {
	texts := make([]string, len(list))
	for i, c := range list {
		texts[i] = c.String()
	}
	return texts
}

// hexIDs formats the ids of a prompt's parts as callers send them.
func hexIDs(ids []uint64) []string {
	list := make([]string, len(ids))
	for i, id := range ids {
		list[i] = strconv.FormatUint(id, 16)
	}
	return list
}

// hundredths rounds to two decimals for the log.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// tenths rounds to one decimal for the log.
func tenths(x float64) float64 { return math.Round(10*x) / 10 }
