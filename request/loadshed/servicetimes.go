package loadshed

import "time"

const (
	// sampleWeight is the weight of the newest request in the means, which follow
	// about the last twenty requests.
	sampleWeight = 0.05
	// floorWeight is the weight with which a class's shortest time to first byte
	// follows longer ones, so that an outdated minimum fades.
	floorWeight = 0.02
	// minSamples is the number of requests of a class from which its own mean is used.
	minSamples = 4
	// maxClasses bounds the tracked classes; at the bound all are forgotten. A growing
	// configuration has a few hundred routes.
	maxClasses = 1024
)

// ServiceTimes tracks how long the requests of a service occupy a slot, overall
// and by class. Its zero value is ready for use; it is not safe for concurrent
// use.
type ServiceTimes struct {
	all     classTimes
	classes map[string]*classTimes
}

type classTimes struct {
	samples int
	value   time.Duration
	floor   time.Duration // shortest time to first byte
}

// estimateServiceTime returns the request's time without the wait in the endpoint's
// queue, estimated as the time to first byte beyond its floor, which it updates.
func (m *classTimes) estimateServiceTime(first, total time.Duration) time.Duration {
	if m.samples == 0 || first < m.floor {
		m.floor = first
	}
	m.floor += time.Duration(floorWeight * float64(first-m.floor))
	return total - first + m.floor
}

func (m *classTimes) add(d time.Duration) {
	m.samples++
	weight := max(sampleWeight, 1/float64(m.samples))
	m.value += time.Duration(weight * float64(d-m.value))
}

// Add records that a request of class was answered after total, with its first
// byte after first.
func (t *ServiceTimes) Add(class string, first, total time.Duration) {
	m := t.classes[class]
	if m == nil {
		if t.classes == nil || len(t.classes) >= maxClasses {
			t.classes = make(map[string]*classTimes)
		}
		m = &classTimes{}
		t.classes[class] = m
	}
	d := m.estimateServiceTime(first, total)
	m.add(d)
	t.all.add(d)
}

// Mean returns the mean over all requests, or 0 before minSamples requests.
func (t *ServiceTimes) Mean() time.Duration {
	if t.all.samples < minSamples {
		return 0
	}
	return t.all.value
}

// ClassMean returns the mean of a class, or 0 before minSamples of its requests.
func (t *ServiceTimes) ClassMean(class string) time.Duration {
	if m := t.classes[class]; m != nil && m.samples >= minSamples {
		return m.value
	}
	return 0
}
