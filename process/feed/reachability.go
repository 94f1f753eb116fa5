package feed

import (
	"context"
	"sync"
)

// Reachability is whether the log is reachable. One follower probes it. When it changes,
// the others end their reads, which cannot tell an unresponsive log from a topic
// without new records, and read again only when the log responds. It is safe for
// concurrent use; Reachability.mu is a leaf.
type Reachability struct {
	mu          sync.Mutex
	unreachable bool
	losses      int           // how often the log was lost
	changed     chan struct{} // closed at the next change
}

// NewReachability returns a Reachability that starts as reachable.
func NewReachability() *Reachability { return &Reachability{changed: make(chan struct{})} }

func (r *Reachability) setUnreachable(unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable == unreachable {
		return
	}
	r.unreachable = unreachable
	if unreachable {
		r.losses++
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// lossCount returns how often the log was lost.
func (r *Reachability) lossCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.losses
}

func (r *Reachability) state() (unreachable bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreachable, r.changed
}

// awaitReachable blocks until the log is reachable or ctx ends.
func (r *Reachability) awaitReachable(ctx context.Context) {
	for {
		unreachable, changed := r.state()
		if !unreachable {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// untilChange returns a context that ends at the next change of the reachability.
func (r *Reachability) untilChange(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	_, changed := r.state()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
