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
	// maxClasses bounds the classes that are tracked. A growing configuration has a
	// few hundred routes.
	maxClasses = 1024
)

// ServiceTimes tracks how long the requests of a service occupy a slot, overall
// and by class. Its zero value is ready for use; it is not safe for concurrent
// use.
type ServiceTimes struct {
	all     mean
	classes map[string]*mean
}

type mean struct {
	samples int
	value   time.Duration
	floor   time.Duration // shortest time to first byte
}

// serviceTime returns the request's time without the wait in the endpoint's
// queue, which is estimated as the time to first byte beyond its minimum.
func (m *mean) serviceTime(first, total time.Duration) time.Duration {
	if m.samples == 0 || first < m.floor {
		m.floor = first
	}
	m.floor += time.Duration(floorWeight * float64(first-m.floor))
	return total - first + m.floor
}

func (m *mean) add(d time.Duration) {
	m.samples++
	weight := max(sampleWeight, 1/float64(m.samples))
	m.value += time.Duration(weight * float64(d-m.value))
}

// Add records that a request of class was answered after total, with its first
// byte after first.
func (w *ServiceTimes) Add(class string, first, total time.Duration) {
	m := w.classes[class]
	if m == nil {
		if w.classes == nil || len(w.classes) >= maxClasses {
			w.classes = make(map[string]*mean)
		}
		m = &mean{}
		w.classes[class] = m
	}
	d := m.serviceTime(first, total)
	m.add(d)
	w.all.add(d)
}

// Mean returns the mean over all requests, or 0 before minSamples requests.
func (w *ServiceTimes) Mean() time.Duration {
	if w.all.samples < minSamples {
		return 0
	}
	return w.all.value
}

// ClassMean returns the mean of a class, or 0 before minSamples of its requests.
func (w *ServiceTimes) ClassMean(class string) time.Duration {
	if m := w.classes[class]; m != nil && m.samples >= minSamples {
		return m.value
	}
	return 0
}
