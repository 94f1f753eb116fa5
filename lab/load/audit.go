package load

import (
	"fmt"
	"strings"
)

// Executions returns how often a request was executed, by the record of the
// stand-ins. It is asked by the caller's own name for the request and, for
// keyed requests, its key.
type Executions func(j *RequestRecord) int

// Finding is a promise that was broken, with its evidence.
type Finding struct {
	Judgement RequestRecord
	Executed  int
	Text      string
}

// Audit is the comparison of what callers were told with what really ran.
type Audit struct {
	MoreThanOnce int // keyed requests executed more than once
	FalseNotRun  int // said not to have run, but executed
	FalseAnswer  int // answered, but never executed
	Wrong        int // ended cleanly with another text
	OnceInTime   int // answered in time and, if keyed, executed exactly once
	Findings     []Finding
}

// maxFindings bounds the evidence that is kept.
const maxFindings = 64

// NewAudit compares the judgements of a result with the truth.
func NewAudit(result *Result, executions Executions) Audit {
	var a Audit
	for i := range result.Requests {
		j := &result.Requests[i]
		a.check(j, executions(j))
	}
	return a
}

func (a *Audit) check(j *RequestRecord, executed int) {
	if j.Key != "" && executed > 1 {
		a.MoreThanOnce++
		a.find(j, executed, "executed more than once")
	}
	if j.Verdict == NotRun && executed > 0 {
		a.FalseNotRun++
		a.find(j, executed, "said not to have run")
	}
	answered := j.Verdict == InTime || j.Verdict == Late
	if answered && executed == 0 {
		a.FalseAnswer++
		a.find(j, executed, "answered without having run")
	}
	if j.Verdict == Wrong {
		a.Wrong++
		a.find(j, executed, "ended cleanly with another text")
	}
	if j.Verdict == InTime && (j.Key == "" || executed == 1) {
		a.OnceInTime++
	}
}

func (a *Audit) find(j *RequestRecord, executed int, text string) {
	if len(a.Findings) < maxFindings {
		a.Findings = append(a.Findings, Finding{Judgement: *j, Executed: executed, Text: text})
	}
}

// Violations returns the number of broken promises.
func (a *Audit) Violations() int {
	return a.MoreThanOnce + a.FalseNotRun + a.FalseAnswer + a.Wrong
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	j := &f.Judgement
	return fmt.Sprintf("%s request %s key %q: %s; executed %d times, verdict %s, code %d, %d tries (%d unsent, %d lost, %d cut): %s",
		j.Kind, j.Name, j.Key, f.Text, f.Executed, j.Verdict, int(j.Code), j.Tries, j.Unsent, j.Lost, j.Cut, strings.Join(j.TryResults, "; "))
}
