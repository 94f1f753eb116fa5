package upstream

import (
	"math"
	"time"
)

// unknownServiceTime is assumed until a service has responded.
const unknownServiceTime = 500 * time.Millisecond

// countAge is the mean age of the other routers' counts, in heartbeat intervals: they are smoothed over
// one, and used half of one after they were told.
const countAge = 1.5

// staleness returns the fraction of the requests that the other routers counted at a service's
// endpoints that have ended since.
func (t *Table) staleness(service string) float64 {
	if t.heartbeatInterval <= 0 || len(t.others) == 0 {
		return 0
	}
	return -math.Expm1(-countAge * float64(t.heartbeatInterval) / float64(t.serviceTime(service)))
}

// serviceTime returns how long the requests of a service occupy a slot, on average.
func (t *Table) serviceTime(service string) time.Duration {
	if mean := t.loadOf(service).serviceTimes.Mean(); mean > 0 {
		return mean
	}
	return unknownServiceTime
}
