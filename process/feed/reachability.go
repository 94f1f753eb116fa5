package feed

import (
	"context"
	"sync"
)

// Reachability says whether the log is in reach. One follower, the sentinel, finds that
// out; the others then end their reads, which cannot tell a silent log from a
// topic without news, and ask again only when it answers. It is safe for concurrent use; Link.mu is a leaf.
type Reachability struct {
	mu      sync.Mutex
	down    bool
	changed chan struct{} // closed at the next change
}

// NewReachability returns a link that is up.
func NewReachability() *Reachability { return &Reachability{changed: make(chan struct{})} }

// set notes whether the log answers.
func (l *Reachability) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down == down {
		return
	}
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Reachability) state() (down bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.changed
}

// await blocks until the log is in reach or ctx ends.
func (l *Reachability) await(ctx context.Context) {
	for {
		down, changed := l.state()
		if !down {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// whileUp returns a context that ends when the log falls silent.
func (l *Reachability) whileUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	_, changed := l.state()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
