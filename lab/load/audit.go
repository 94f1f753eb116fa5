package load

import (
	"fmt"
	"strings"
)

// Executions returns how often the stand-ins executed a request, identified by
// the caller's own id of it and, if it has one, its key.
type Executions func(record *RequestRecord) int

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
		record := &result.Requests[i]
		a.check(record, executions(record))
	}
	return a
}

func (a *Audit) check(record *RequestRecord, executed int) {
	if record.Key != "" && executed > 1 {
		a.MoreThanOnce++
		a.find(record, executed, "executed more than once")
	}
	if record.Verdict == NotRun && executed > 0 {
		a.FalseNotRun++
		a.find(record, executed, "refused as not run")
	}
	responded := record.Verdict == InTime || record.Verdict == Late
	if responded && executed == 0 {
		a.FalseResponse++
		a.find(record, executed, "answered without having run")
	}
	if record.Verdict == Wrong {
		a.Wrong++
		a.find(record, executed, "ended cleanly with another text")
	}
	if record.Verdict == InTime && (record.Key == "" || executed == 1) {
		a.OnceInTime++
	}
}

func (a *Audit) find(record *RequestRecord, executed int, text string) {
	if len(a.Findings) < maxFindings {
		a.Findings = append(a.Findings, Finding{Request: *record, Executed: executed, Text: text})
	}
}

// Violations returns the number of violated guarantees.
func (a *Audit) Violations() int {
	return a.MoreThanOnce + a.FalseNotRun + a.FalseResponse + a.Wrong
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	record := &f.Request
	return fmt.Sprintf("%s request %s key %q: %s; executed %d times, verdict %s, code %d, %d attempts (%d unsent, %d lost, %d cut): %s",
		record.Kind, record.ID, record.Key, f.Text, f.Executed, record.Verdict, int(record.Code), record.Attempts, record.Unsent, record.Lost, record.Interrupted, strings.Join(record.AttemptResults, "; "))
}
