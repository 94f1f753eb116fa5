package load

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Verdict is the outcome of a request as seen by its caller.
type Verdict string

// The verdicts.
const (
	InTime  Verdict = "in_time" // complete response, in time
	Late    Verdict = "late"    // complete response, after the deadline
	NotRun  Verdict = "not_run" // refused as not run
	Ran     Verdict = "ran"     // error response that says that the request was run
	Unknown Verdict = "unknown" // no response, or one that does not say whether it was run
	Wrong   Verdict = "wrong"   // ended cleanly with another text
)

// rank orders the verdicts of a request that was sent twice; the highest is reported.
func (v Verdict) rank() int {
	switch v {
	case InTime:
		return 5
	case Late:
		return 4
	case Ran:
		return 3
	case Unknown:
		return 2
	case NotRun:
		return 1
	default:
		return 6 // a wrong response is never hidden
	}
}

// RequestRecord is the caller's record of one request.
type RequestRecord struct {
	ID             string // the caller's own id of it
	Kind           string
	Key            string // Idempotency-Key
	Verdict        Verdict
	Code           outcome.Code // of the last refusal
	AttemptResults []string     // of the last attempts
	Attempts       int
	// Unsent, Lost and Interrupted count attempts without a connection,
	// without a response, and with a response that broke off.
	Unsent, Lost, Interrupted int
	Duplicated                bool // sent to two entry hosts at the same time
	StoredResponse            bool // the response was a stored one
	Duration                  time.Duration
	FirstToken                time.Duration
	Prompt, Cached            int         // tokens
	run                       outcome.Run // over all attempts
	text                      string
	place                     string
}

// mergeRecords returns the record with the verdict of higher rank of a request
// that was sent twice, with the counts of both but Attempts, which sendTwice adds.
func mergeRecords(a, b RequestRecord) RequestRecord {
	if b.Verdict.rank() > a.Verdict.rank() {
		a, b = b, a
	}
	a.Unsent += b.Unsent
	a.Lost += b.Lost
	a.Interrupted += b.Interrupted
	a.AttemptResults = append(append(slices.Clone(a.AttemptResults), "other host:"), b.AttemptResults...)
	return a
}

// maxAttemptResults is the number of attempt results that are kept.
const maxAttemptResults = 8

func (r *RequestRecord) count(t *attempt) {
	if r.Attempts == 0 {
		r.run = t.run()
	}
	r.run = outcome.Combine(r.run, t.run())
	r.Attempts++
	r.AttemptResults = append(r.AttemptResults, t.String())
	if len(r.AttemptResults) > maxAttemptResults {
		r.AttemptResults = r.AttemptResults[1:]
	}
	switch t.end {
	case endUnreachable:
		r.Unsent++
	case endLost:
		r.Lost++
	case endInterrupted:
		r.Interrupted++
	}
}

// finish sets the verdict from the last attempt t and what is known of all attempts.
func (r *RequestRecord) finish(q *request, t *attempt) {
	r.ID, r.Kind, r.Key = q.id, q.kind.Name, q.key
	r.Duration = q.generator.clock.Since(q.sent)
	r.Code = t.refusal.Code
	r.StoredResponse = t.stored
	r.FirstToken = t.firstToken
	r.Prompt, r.Cached = t.prompt, t.cached
	r.text, r.place = t.text, t.place
	r.Verdict = r.verdict(q, t)
}

func (r *RequestRecord) verdict(q *request, t *attempt) Verdict {
	switch {
	case t.end == endWrong:
		return Wrong
	case t.end == endComplete && r.Duration <= q.kind.Deadline:
		return InTime
	case t.end == endComplete:
		return Late
	}
	// With a key the last refusal covers all attempts; without one each attempt
	// is a separate request.
	run := r.run
	if q.key != "" && t.end == endRefused {
		run = t.run()
	}
	switch run {
	case outcome.RunNot:
		return NotRun
	case outcome.RunDone:
		return Ran
	default:
		return Unknown
	}
}
