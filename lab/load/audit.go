package load

import (
	"fmt"
	"strings"
)

// Executions returns how often the stand-ins executed a request, identified by
// the caller's own id of it and, if it has one, its key.
type Executions func(j *RequestRecord) int

// Finding is a violated guarantee with its evidence.
type Finding struct {
	Request  RequestRecord
	Executed int
	Text     string
}

// Audit compares the responses of callers with the executions.
type Audit struct {
	MoreThanOnce  int // keyed requests executed more than once
	FalseNotRun   int // refused as not run, but executed
	FalseResponse int // responded to, but never executed
	Wrong         int // ended cleanly with another text
	OnceInTime    int // served in time and, if keyed, executed exactly once
	Findings      []Finding
}

// maxFindings bounds the findings that are kept.
const maxFindings = 64

// NewAudit compares the requests of a result with their executions.
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
		a.find(j, executed, "refused as not run")
	}
	answered := j.Verdict == InTime || j.Verdict == Late
	if answered && executed == 0 {
		a.FalseResponse++
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
		a.Findings = append(a.Findings, Finding{Request: *j, Executed: executed, Text: text})
	}
}

// Violations returns the number of violated guarantees.
func (a *Audit) Violations() int {
	return a.MoreThanOnce + a.FalseNotRun + a.FalseResponse + a.Wrong
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	j := &f.Request
	return fmt.Sprintf("%s request %s key %q: %s; executed %d times, verdict %s, code %d, %d attempts (%d unsent, %d lost, %d cut): %s",
		j.Kind, j.Name, j.Key, f.Text, f.Executed, j.Verdict, int(j.Code), j.Attempts, j.Unsent, j.Lost, j.Interrupted, strings.Join(j.AttemptResults, "; "))
}
