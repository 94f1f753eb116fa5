package pool

import (
	"sync"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// queueLength is the maximum number of waiting tasks per worker.
const queueLength = 16

// Pool runs tasks on a fixed number of workers. It is safe for concurrent use.
type Pool struct {
	log   logr.Logger
	tasks chan func()

	mu     sync.RWMutex // guards closed; write-locked only to close tasks
	closed bool
	wg     conc.WaitGroup
}

// New returns a running pool.
func New(workers int, log logr.Logger) *Pool {
	p := &Pool{log: log, tasks: make(chan func(), workers*queueLength)}
	for range workers {
		p.wg.Go(p.work)
	}
	return p
}

// Go queues task. It returns false, without running task, if the queue is full
// or the pool is closed.
func (p *Pool) Go(task func()) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return false
	}
	select {
	case p.tasks <- task:
		return true
	default:
		return false
	}
}

// Close stops the pool and waits until queued and running tasks have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.tasks)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Pool) work() {
	for task := range p.tasks {
		if recovered := panics.Try(task); recovered != nil {
			p.log.Error(recovered.AsError(), "background task panicked")
		}
	}
}
