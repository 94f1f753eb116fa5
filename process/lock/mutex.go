package lock

import "sync"

// Mutex is a sync.Mutex with a place in the order of locks. The zero value is
// an unlocked Mutex.
type Mutex[R Rank] struct {
	mu sync.Mutex
}

// Lock locks m.
func (m *Mutex[R]) Lock() {
	var r R
	place, name := r.rank()
	acquire(place, name)
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex[R]) Unlock() {
	m.mu.Unlock()
	var r R
	place, _ := r.rank()
	release(place)
}
