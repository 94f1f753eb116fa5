package loadshed

import "time"

const (
	// maxRetryAfter is the delay, without jitter, from which retry times grow no
	// more. Callers wait at most a third of the time left until their deadline.
	maxRetryAfter = 4 * time.Second
	// jitter is the fraction of a retry time by which it is randomly extended.
	jitter = 0.2
)

// RetrySchedule staggers the retry times of a service's refused callers at the
// rate at which its endpoints complete requests, so that callers find capacity
// when they retry and do not all retry at once. Its zero value is ready for use;
// it is not safe for concurrent use.
type RetrySchedule struct {
	lastRetry time.Time // when the last refused caller retries
}

// Next returns the delay after which the next refused caller should retry.
// soonest is the time until any capacity is free, interval the time between two
// completions that leave capacity for this router's callers. draw is in [0,1).
func (s *RetrySchedule) Next(now time.Time, soonest, interval time.Duration, draw float64) time.Duration {
	if first := now.Add(soonest); s.lastRetry.Before(first) {
		s.lastRetry = first
	} else if s.lastRetry.Sub(now) < maxRetryAfter {
		s.lastRetry = s.lastRetry.Add(interval)
	}
	return time.Duration(float64(s.lastRetry.Sub(now)) * (1 + jitter*draw))
}
