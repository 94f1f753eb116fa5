package permits

import (
	"math"
	"time"
)

// works keeps the mean work of calls at pace 1, by class.
type works struct {
	mean    time.Duration
	byClass map[uint32]time.Duration
}

const (
	// defaultWork is the assumed work until the first call has ended.
	defaultWork = 50 * time.Millisecond
	// workWeight is the weight of a call in the mean work.
	workWeight = 0.02
	// maxWorkFactor bounds, as a multiple of the mean, the work of a call that is averaged.
	maxWorkFactor = 8
	maxClasses    = 256
)

func (s *works) add(class uint32, work time.Duration) {
	if work <= 0 {
		return
	}
	s.mean = average(s.mean, work, workWeight)
	old, ok := s.byClass[class]
	if class == 0 || !ok && len(s.byClass) >= maxClasses {
		return
	}
	s.byClass[class] = average(old, work, 2*workWeight)
}

func average(old, value time.Duration, weight float64) time.Duration {
	if old == 0 {
		return value
	}
	value = min(value, maxWorkFactor*old)
	return old + time.Duration(math.Round(weight*float64(value-old)))
}

// of returns the mean work of a class.
func (s *works) of(class uint32) time.Duration {
	if work := s.byClass[class]; work > 0 {
		return work
	}
	if s.mean > 0 {
		return s.mean
	}
	return defaultWork
}
