package loadshed

import "time"

const (
	// longestBacklog bounds how far ahead callers are told to come back. Callers
	// wait a third of the time that they have left at most.
	longestBacklog = 4 * time.Second
	// spread is the part of a time to come back over which callers are spread.
	spread = 0.2
)

// RetrySchedule gives refused callers of a service times to come back, one after the
// other at the rate at which its endpoints complete requests, so that they find
// room and do not come back together. Its zero value is ready for use; it is
// not safe for concurrent use.
type RetrySchedule struct {
	next time.Time // when the last refused caller comes back
}

// Next returns when the next refused caller should come back. soonest is the
// time until there is room at all, each the pause between two completions that
// this router's callers may fill. draw is in [0,1).
func (b *RetrySchedule) Next(now time.Time, soonest, each time.Duration, draw float64) time.Duration {
	if first := now.Add(soonest); b.next.Before(first) {
		b.next = first
	} else if b.next.Sub(now) < longestBacklog {
		b.next = b.next.Add(each)
	}
	return time.Duration(float64(b.next.Sub(now)) * (1 + spread*draw))
}
