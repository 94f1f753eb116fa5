package load

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Verdict is what became of a request, as its caller sees it.
type Verdict string

// The verdicts.
const (
	InTime  Verdict = "in_time" // the whole answer, in time
	Late    Verdict = "late"    // the whole answer, after the deadline
	NotRun  Verdict = "not_run" // refused, and said not to have run
	Ran     Verdict = "ran"     // refused, and said to have run
	Unknown Verdict = "unknown" // no answer, or one that does not say
	Wrong   Verdict = "wrong"   // ended cleanly with another text
)

// rank orders verdicts from worst to best for a request that was sent twice.
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
		return 6 // a wrong answer is never hidden
	}
}

// RequestRecord is the caller's record of one request.
type RequestRecord struct {
	Name       string // the caller's own name for it
	Kind       string
	Key        string // Idempotency-Key
	Verdict    Verdict
	Code       outcome.Code // of the last refusal
	TryResults []string     // how each of the last tries ended
	Tries      int
	// Unsent, Lost and Cut count tries without a connection, without an
	// answer, and with an answer that broke off.
	Unsent, Lost, Cut int
	Double            bool // sent to two entry hosts at the same time
	Repeated          bool // the answer was a stored one
	Duration          time.Duration
	FirstToken        time.Duration
	Prompt, Cached    int         // tokens
	run               outcome.Run // over all tries
	text              string
	place             string
}

// better returns the judgement that decides of two for the same request.
func better(a, b RequestRecord) RequestRecord {
	if b.Verdict.rank() > a.Verdict.rank() {
		a, b = b, a
	}
	a.Unsent += b.Unsent
	a.Lost += b.Lost
	a.Cut += b.Cut
	a.TryResults = append(append(slices.Clone(a.TryResults), "other host:"), b.TryResults...)
	return a
}

// maxTrail bounds the tries whose ends are kept.
const maxTrail = 8

func (j *RequestRecord) count(t *try) {
	if j.Tries == 0 {
		j.run = t.run()
	}
	j.run = outcome.Combine(j.run, t.run())
	j.Tries++
	j.TryResults = append(j.TryResults, t.String())
	if len(j.TryResults) > maxTrail {
		j.TryResults = j.TryResults[1:]
	}
	switch t.end {
	case endUnreachable:
		j.Unsent++
	case endLost:
		j.Lost++
	case endCut:
		j.Cut++
	}
}

// finish fills in the verdict by the last try t.
func (j *RequestRecord) finish(q *request, t *try) {
	j.Name, j.Kind, j.Key = q.name, q.kind.Name, q.key
	j.Duration = q.generator.clock.Since(q.sent)
	j.Code = t.refusal.Code
	j.Repeated = t.repeated
	j.FirstToken = t.firstToken
	j.Prompt, j.Cached = t.prompt, t.cached
	j.text, j.place = t.text, t.place
	j.Verdict = j.verdict(q, t)
}

func (j *RequestRecord) verdict(q *request, t *try) Verdict {
	switch {
	case t.end == endWrong:
		return Wrong
	case t.end == endWhole && j.Duration <= q.kind.Deadline:
		return InTime
	case t.end == endWhole:
		return Late
	}
	// With a key the last refusal is about all tries; without one each try is
	// a request of its own.
	run := j.run
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
