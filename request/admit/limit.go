package admit

import "time"

// waitShare is the part of a request's objective that it may spend in an
// endpoint's queue; the rest is for the way and the first step of work.
const waitShare = 0.3

// Limit returns the most requests, running and waiting, that an endpoint with
// the given slots may have for one more to be in time there. mean is the time
// that a request of the service occupies a slot. It returns 0, no limit, while
// slots or mean are unknown.
func Limit(objective time.Duration, slots int, mean time.Duration) float64 {
	if slots <= 0 || mean <= 0 {
		return 0
	}
	return float64(slots) * (1 + waitShare*float64(objective)/float64(mean))
}
