package burn

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Counts is the number of requests by result. A request has exactly one result.
type Counts struct {
	InTime  uint64 `json:"in_time"` // served once, completely and within the deadline
	Late    uint64 `json:"late"`    // served, but after the deadline
	NotRun  uint64 `json:"not_run"` // refused and not run
	Failed  uint64 `json:"failed"`  // ran, but without a complete response
	Unknown uint64 `json:"unknown"` // may have run
}

// Requests returns the number of requests.
func (c Counts) Requests() uint64 {
	return c.InTime + c.Late + c.NotRun + c.Failed + c.Unknown
}

// Bad returns the number of requests that were not served once and in time.
func (c Counts) Bad() uint64 {
	return c.Requests() - c.InTime
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		InTime:  c.InTime + other.InTime,
		Late:    c.Late + other.Late,
		NotRun:  c.NotRun + other.NotRun,
		Failed:  c.Failed + other.Failed,
		Unknown: c.Unknown + other.Unknown,
	}
}

// larger returns the element-wise maximum of c and other.
func (c Counts) larger(other Counts) Counts {
	return Counts{
		InTime:  max(c.InTime, other.InTime),
		Late:    max(c.Late, other.Late),
		NotRun:  max(c.NotRun, other.NotRun),
		Failed:  max(c.Failed, other.Failed),
		Unknown: max(c.Unknown, other.Unknown),
	}
}

// Result is the result of one request.
type Result int

// The values of Result.
const (
	InTime Result = iota
	Late
	NotRun
	Failed
	Unknown
	resultCount
)

// Classify returns the result of a request that ended with code. It returns
// false for requests that do not count: caller errors, and retries that the
// idempotency key refuses, as the first attempt of the caller was counted.
func Classify(code outcome.Code, run outcome.Run, inTime bool) (Result, bool) {
	const firstServiceCode = 2000 // codes below it are caller errors
	switch code {
	case outcome.OK:
		if inTime {
			return InTime, true
		}
		return Late, true
	case outcome.KeyInProgress, outcome.KeyTooOld, outcome.KeyReused, outcome.AnswerNotHeld:
		return 0, false
	default:
	}
	if code < firstServiceCode {
		return 0, false
	}
	switch run {
	case outcome.RunNot:
		return NotRun, true
	case outcome.RunDone:
		return Failed, true
	default:
		return Unknown, true
	}
}

// counts returns the counts of one request.
func (r Result) counts() Counts {
	var each [resultCount]uint64
	each[r] = 1
	return Counts{InTime: each[InTime], Late: each[Late], NotRun: each[NotRun], Failed: each[Failed], Unknown: each[Unknown]}
}

// Record is the counters of one router process.
type Record struct {
	Host        string    `json:"host"`
	Incarnation uint64    `json:"boot"`
	Zone        string    `json:"zone"`
	Started     time.Time `json:"started"`
	At          time.Time `json:"at"` // when the process read these counters
	// Final says that the process shut down cleanly and this is its last record.
	Final bool         `json:"final"`
	Kinds []KindRecord `json:"kinds"` // sorted by kind
}

// KindRecord is the counters of one kind.
type KindRecord struct {
	Kind  string `json:"kind"`
	Total Counts `json:"total"` // since the process started
	// Minutes are the minutes of the last six hours with requests, oldest first.
	Minutes []Minute `json:"minutes,omitempty"`
}

// Minute is the counters of one minute.
type Minute struct {
	Unix   int64  `json:"unix"` // minutes since 1970
	Counts Counts `json:"counts"`
}

// MinuteOf returns the minute of t, counted from 1970.
func MinuteOf(t time.Time) int64 {
	return t.Unix() / 60
}

// Merge merges a and b, two records of one process.
func Merge(a, b Record) Record {
	if b.At.After(a.At) {
		a, b = b, a
	}
	merged := a
	merged.Final = a.Final || b.Final
	merged.Kinds = mergeKinds(a.Kinds, b.Kinds)
	return merged
}

func mergeKinds(a, b []KindRecord) []KindRecord {
	merged := make([]KindRecord, 0, max(len(a), len(b)))
	merged = append(merged, a...)
	for _, kind := range b {
		i, found := slices.BinarySearchFunc(merged, kind.Kind, compareKind)
		if !found {
			merged = slices.Insert(merged, i, kind)
			continue
		}
		merged[i] = KindRecord{
			Kind:    kind.Kind,
			Total:   merged[i].Total.larger(kind.Total),
			Minutes: mergeMinutes(merged[i].Minutes, kind.Minutes),
		}
	}
	return merged
}

func compareKind(k KindRecord, name string) int {
	return strings.Compare(k.Kind, name)
}

// mergeMinutes merges two sorted lists.
func mergeMinutes(a, b []Minute) []Minute {
	merged := make([]Minute, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		switch cmp.Compare(a[0].Unix, b[0].Unix) {
		case -1:
			merged, a = append(merged, a[0]), a[1:]
		case 1:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged = append(merged, Minute{Unix: a[0].Unix, Counts: a[0].Counts.larger(b[0].Counts)})
			a, b = a[1:], b[1:]
		}
	}
	merged = append(merged, a...)
	return append(merged, b...)
}
