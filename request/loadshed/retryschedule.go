package loadshed

import "time"

const (
	// maxRetryAfter bounds the retry time. Callers wait at most a third of the time
	// that is left until their deadline.
	maxRetryAfter = 4 * time.Second
	// jitter is the fraction of a retry time by which it is randomly extended.
	jitter = 0.2
)

// RetrySchedule staggers the retry times of a service's refused callers at the
// rate at which its endpoints complete requests, so that callers find capacity
// when they retry and do not all retry at once. Its zero value is ready for use;
// it is not safe for concurrent use.
type RetrySchedule struct {
	next time.Time // when the last refused caller retries
}

// Next returns the delay after which the next refused caller should retry.
// soonest is the time until any capacity is free, interval the pause between two
// completions that this router's callers may use. draw is in [0,1).
func (s *RetrySchedule) Next(now time.Time, soonest, interval time.Duration, draw float64) time.Duration {
	if first := now.Add(soonest); s.next.Before(first) {
		s.next = first
	} else if s.next.Sub(now) < maxRetryAfter {
		s.next = s.next.Add(interval)
	}
	return time.Duration(float64(s.next.Sub(now)) * (1 + jitter*draw))
}
