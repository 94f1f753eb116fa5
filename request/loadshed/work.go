package loadshed

import "time"

const (
	// workWeight is the weight of the newest request in the means, which follow
	// about the last twenty.
	workWeight = 0.05
	// floorRise is the part by which a class's shortest wait for the first byte
	// follows longer ones, so that it is not kept for ever.
	floorRise = 0.02
	// fewestSamples of a class are taken before its own mean is used.
	fewestSamples = 4
	// mostClasses bounds the classes that are remembered; a configuration that
	// grows has a few hundred routes.
	mostClasses = 1024
)

// ServiceTimes keeps how long the requests of a service occupy a slot, in all and by
// class. Its zero value is ready for use; it is not safe for concurrent use.
type ServiceTimes struct {
	all     mean
	classes map[string]*mean
}

type mean struct {
	samples int
	value   time.Duration
	floor   time.Duration // shortest time until the first byte
}

// worked returns the time without the wait in the endpoint's queue: what the
// first byte took longer than it can.
func (m *mean) worked(first, total time.Duration) time.Duration {
	if m.samples == 0 || first < m.floor {
		m.floor = first
	}
	m.floor += time.Duration(floorRise * float64(first-m.floor))
	return total - first + m.floor
}

func (m *mean) add(d time.Duration) {
	m.samples++
	weight := max(workWeight, 1/float64(m.samples))
	m.value += time.Duration(weight * float64(d-m.value))
}

// Add notes that a request of class was answered after total, with its first
// byte after first.
func (w *ServiceTimes) Add(class string, first, total time.Duration) {
	m := w.classes[class]
	if m == nil {
		if w.classes == nil || len(w.classes) >= mostClasses {
			w.classes = make(map[string]*mean)
		}
		m = &mean{}
		w.classes[class] = m
	}
	d := m.worked(first, total)
	m.add(d)
	w.all.add(d)
}

// Mean returns the mean over all requests; 0 before the first ones.
func (w *ServiceTimes) Mean() time.Duration {
	if w.all.samples < fewestSamples {
		return 0
	}
	return w.all.value
}

// ClassMean returns the mean of a class; 0 before its first requests.
func (w *ServiceTimes) ClassMean(class string) time.Duration {
	if m := w.classes[class]; m != nil && m.samples >= fewestSamples {
		return m.value
	}
	return 0
}
