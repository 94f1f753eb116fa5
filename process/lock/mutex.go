package lock

import "sync"

// Mutex is a sync.Mutex with a rank in the lock order. The zero value is an
// unlocked Mutex.
type Mutex[R Rank] struct {
	mu sync.Mutex
}

// Lock locks m.
func (m *Mutex[R]) Lock() {
	var r R
	rank, name := r.rank()
	acquire(rank, name)
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex[R]) Unlock() {
	m.mu.Unlock()
	var r R
	rank, _ := r.rank()
	release(rank)
}
