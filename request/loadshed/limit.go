package loadshed

import "time"

const (
	// promptWaitFraction is the fraction of its objective that a request with a prompt
	// may spend in an engine's queue. Reading prompts slows down all running requests,
	// so a longer queue would make the requests in it late.
	promptWaitFraction = 0.3
	// plainWaitFraction is the same for a request to a plain service. The rest covers
	// the network, the work and counts that are one heartbeat old.
	plainWaitFraction = 0.6
)

// MaxWait returns how long a request may wait in an endpoint's queue and still
// meet its objective.
func MaxWait(objective time.Duration, prompt bool) time.Duration {
	if prompt {
		return time.Duration(promptWaitFraction * float64(objective))
	}
	return time.Duration(plainWaitFraction * float64(objective))
}

// Limit returns the largest number of running and waiting requests, a new one
// included, at which an endpoint with the given slots starts the new one within
// wait. mean is the mean service time. Limit returns 0, no limit, while slots or
// mean are unknown.
func Limit(wait time.Duration, slots int, mean time.Duration) float64 {
	if slots <= 0 || mean <= 0 {
		return 0
	}
	return float64(slots) * (1 + float64(wait)/float64(mean))
}
