package configlog

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
)

// maxPending bounds the evidence that waits for its records to be applied.
// Beyond it, new evidence replaces the newest, so that the oldest stays.
const maxPending = 16

// Freshness decides whether a router may accept new work: only if it is
// confirmed that the router had every accepted record at some time at most a
// fixed window ago. Evidence is one of: the router read the end of the log, a
// peer that it gossips with read it, or it received gossip from a majority of
// the known routers. Evidence counts from the time that it is about, not from
// its arrival. Freshness does no I/O and is not safe for concurrent use.
type Freshness struct {
	window    time.Duration
	confirmed time.Time
	pending   []evidence
}

// evidence states that no record from offset end on had been accepted at a time.
type evidence struct {
	at  time.Time
	end platformclient.Offset
}

// NewFreshness returns a Freshness without evidence.
func NewFreshness(window time.Duration) *Freshness {
	return &Freshness{window: window}
}

// AddEvidence adds evidence that the stream ended at offset end at the given
// time. next is the offset of the next record to apply.
func (f *Freshness) AddEvidence(at time.Time, end, next platformclient.Offset) {
	if next >= end {
		f.confirm(at)
		return
	}
	if len(f.pending) == maxPending {
		f.pending = f.pending[:maxPending-1]
	}
	f.pending = append(f.pending, evidence{at: at, end: end})
}

// Advance confirms the evidence about ends up to next, the next record to apply.
func (f *Freshness) Advance(next platformclient.Offset) {
	kept := f.pending[:0]
	for _, e := range f.pending {
		if next >= e.end {
			f.confirm(e.at)
		} else {
			kept = append(kept, e)
		}
	}
	f.pending = kept
}

func (f *Freshness) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Confirmed returns the last time at which the router is known to have had every accepted record.
func (f *Freshness) Confirmed() time.Time { return f.confirmed }

// Fresh reports whether new work may be accepted at now.
func (f *Freshness) Fresh(now time.Time) bool {
	return !f.confirmed.IsZero() && now.Sub(f.confirmed) <= f.window
}
