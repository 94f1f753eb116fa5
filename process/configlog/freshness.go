package configlog

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
)

// maxPending bounds the evidence that waits for records.
const maxPending = 16

// Freshness tells whether a router may take new work: within the last window,
// the router had all records that it could have known of. Evidence is one of:
// it read the log's end, a peer that it hears read the log's end, or it heard a
// majority of the known routers. Evidence counts from the time that it speaks
// of, not from its arrival. Freshness is pure and not safe for concurrent use.
type Freshness struct {
	window    time.Duration
	confirmed time.Time
	pending   []evidence
}

// evidence says that at a time no record from end on was accepted.
type evidence struct {
	at  time.Time
	end platformclient.Offset
}

// NewFreshness returns a Freshness that has no evidence.
func NewFreshness(window time.Duration) *Freshness {
	return &Freshness{window: window}
}

// AddEvidence takes evidence that at the time at the stream ended at end, while the
// fold is at next.
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

// Advance tells that the fold is at next.
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

// Confirmed returns the last time at which the router is known to have had
// every accepted record.
func (f *Freshness) Confirmed() time.Time { return f.confirmed }

// Fresh reports whether new work may be taken at now.
func (f *Freshness) Fresh(now time.Time) bool {
	return !f.confirmed.IsZero() && now.Sub(f.confirmed) <= f.window
}
