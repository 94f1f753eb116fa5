package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCapacityRisesWithCompletedRequestsOnly(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	w := newWarmup(Options{Capacity: 10, ColdCapacity: 2, WarmAfter: 4, ColdSlowdown: 3}, start)
	var capacities []int
	var times []time.Duration
	for w.completed = 0; w.completed <= 5; w.completed++ {
		capacities = append(capacities, w.capacity())
		times = append(times, w.slowed(2*time.Second))
	}
	c.Check(capacities, qt.DeepEquals, []int{2, 4, 6, 8, 10, 10})
	c.Check(times, qt.DeepEquals, []time.Duration{
		6 * time.Second, 5 * time.Second, 4 * time.Second, 3 * time.Second, 2 * time.Second, 2 * time.Second,
	})
	w.reset(start.Add(time.Hour), false)
	c.Check(w.capacity(), qt.Equals, 2)
}
