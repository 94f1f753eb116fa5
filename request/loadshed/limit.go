package loadshed

import "time"

const (
	// promptWait is the part of its objective that a request with a prompt may
	// spend in an engine's queue. Prompts that are read slow down all that run, so
	// that a longer queue makes those late that it was to serve.
	promptWait = 0.3
	// plainWait is the same for a request to a plain service; the rest is for the
	// way, the work and counts that are a beat old.
	plainWait = 0.6
)

// MaxWait returns how long a request may wait in an endpoint's queue to be in time.
func MaxWait(objective time.Duration, prompt bool) time.Duration {
	if prompt {
		return time.Duration(promptWait * float64(objective))
	}
	return time.Duration(plainWait * float64(objective))
}

// Limit returns the most requests, running and waiting, that an endpoint with
// the given slots may have for one more to wait no longer than wait. mean is the
// time that a request of the service occupies a slot. It returns 0, no limit,
// while slots or mean are unknown.
func Limit(wait time.Duration, slots int, mean time.Duration) float64 {
	if slots <= 0 || mean <= 0 {
		return 0
	}
	return float64(slots) * (1 + float64(wait)/float64(mean))
}
