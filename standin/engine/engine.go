package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// Engine is a running engine. It is safe for concurrent use.
type Engine struct {
	*httpserver.Server
	options Options
	clock   clockwork.Clock
	faults  *fault.Set
	// lifetime ends with Close; closed is its Done channel.
	lifetime context.Context
	end      context.CancelFunc
	closed   <-chan struct{}
	wake     chan struct{} // buffers one signal to the loop
	wg       conc.WaitGroup

	mu           sync.Mutex
	incarnation  uint64
	down         bool
	draining     bool
	serving      serving
	arrivals     uint64
	queue        []*sequence // by priority, then arrival
	batch        []*sequence // running, in order of admission
	sequences    map[string]*sequence
	finished     []*sequence // finished, oldest first
	cache        *prefixCache
	events       eventLog
	warmup       warmup
	completed    uint64  // in this incarnation
	firstTokenMs float64 // of the last request that got its first token
	history      []sample
	recorder     recorder
}

// Start starts an engine on addr, or on a free loopback port if addr is empty.
func Start(addr string, options Options) (*Engine, error) {
	options = options.withDefaults()
	now := options.Clock.Now()
	lifetime, end := context.WithCancel(context.Background())
	e := &Engine{
		options:     options,
		clock:       options.Clock,
		faults:      fault.NewSet(options.Clock, options.Seed),
		lifetime:    lifetime,
		end:         end,
		closed:      lifetime.Done(),
		wake:        make(chan struct{}, 1),
		incarnation: uint64(now.UnixNano()),
		serving:     newServing(options),
		sequences:   make(map[string]*sequence),
		cache:       newPrefixCache(options.CacheTokens),
		events:      eventLog{next: 1},
		warmup:      newWarmup(options, now),
	}
	e.sampleLocked()
	server, err := httpserver.Start(addr, httpserver.EchoRequestID(e.routes()))
	if err != nil {
		end()
		return nil, err
	}
	e.Server = server
	e.wg.Go(e.loop)
	return e, nil
}

func (e *Engine) routes() *httprouter.Router {
	router := httprouter.New()
	router.POST(protocol.PathChat, e.handleChat)
	router.GET(protocol.PathRequests+":id/stream", e.handleResume)
	router.DELETE(protocol.PathRequests+":id", e.handleCancel)
	router.GET(protocol.PathLoad, e.handleLoad)
	router.GET(protocol.PathCacheEvents, e.handleCacheEvents)
	router.POST(protocol.PathCacheExport, e.handleExport)
	router.POST(protocol.PathCacheImport, e.handleImport)
	router.POST(protocol.PathOrders, e.handleOrder)
	return router
}

// Close stops the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	e.end()
	e.Server.Close()
	e.wg.Wait()
}

// Faults returns the engine's faults.
func (e *Engine) Faults() *fault.Set {
	return e.faults
}

// StartDrain makes the engine report that it drains and refuse new requests as not run.
func (e *Engine) StartDrain() { e.setDraining(true) }

// EndDrain ends a drain.
func (e *Engine) EndDrain() { e.setDraining(false) }

func (e *Engine) setDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
	e.recorder.drainChangedAt = e.clock.Now()
	e.sampleLocked()
}

// TurnCold empties the cache and lowers the true capacity without notice: the
// incarnation stays and no cache event is published.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turnColdLocked(false)
}

func (e *Engine) turnColdLocked(announced bool) {
	e.warmup.reset(e.clock.Now(), announced)
	e.cache = newPrefixCache(e.options.CacheTokens)
}

// Crash drops all requests and connections. The engine restarts cold, as a new
// incarnation, after Options.RestartAfter.
func (e *Engine) Crash(reason string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.recorder.addCrash(reason, e.clock.Now(), e.batch)
	e.dropAllLocked()
	e.mu.Unlock()
	e.Stop()
	e.Go(e.restart)
}

func (e *Engine) dropAllLocked() {
	for _, s := range slices.Concat(e.batch, e.queue) {
		s.state = lost
		s.notify()
	}
	e.batch, e.queue, e.finished = nil, nil, nil
	clear(e.sequences)
}

func (e *Engine) restart() {
	select {
	case <-e.clock.After(e.options.RestartAfter):
	case <-e.closed:
		return
	}
	e.mu.Lock()
	e.restartLocked()
	e.mu.Unlock()
	_ = e.Restart()
}

// restartLocked starts a new, cold incarnation.
func (e *Engine) restartLocked() {
	e.incarnation++
	e.down = false
	e.completed = 0
	e.events = eventLog{next: 1}
	e.turnColdLocked(true)
	e.history = nil
	e.sampleLocked()
}

// Incarnation returns the current incarnation.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// signal wakes the loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop steps the batch until the engine is closed.
func (e *Engine) loop() {
	for {
		wait, stepping := e.advance()
		var timer <-chan time.Time
		var wake <-chan struct{}
		if wait >= 0 {
			timer = e.clock.After(wait)
		}
		if !stepping {
			wake = e.wake
		}
		select {
		case <-timer:
		case <-wake:
		case <-e.closed:
			return
		}
		if stepping {
			e.step()
		}
	}
}
