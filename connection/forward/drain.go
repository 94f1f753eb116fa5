package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// silenceAllowance is how long a sound endpoint may fall silent during a request.
const silenceAllowance = 1500 * time.Millisecond

// errProcessEnds ends the requests that are in progress when the process ends.
var errProcessEnds = errors.New("the process ends")

// drain is the end of a process that is being stopped. Its zero value is that of one that is not.
type drain struct {
	plan    atomic.Pointer[drainPlan]
	ending  context.Context
	endAll  context.CancelCauseFunc
	prepare sync.Once
}

type drainPlan struct {
	began          time.Time
	acceptAllUntil time.Time
	end            time.Time
}

// since returns the time from the beginning of the drain to t, or 0 if t is before it.
func (d *drain) since(t time.Time) time.Duration {
	if plan := d.plan.Load(); plan != nil {
		return max(0, t.Sub(plan.began))
	}
	return 0
}

func (d *drain) init() {
	d.prepare.Do(func() { d.ending, d.endAll = context.WithCancelCause(context.Background()) })
}

// StartDrain begins a drain at began: from acceptAllUntil on, the server refuses requests that may not be
// complete by end.
func (s *Server) StartDrain(began, acceptAllUntil, end time.Time) {
	s.drain.plan.Store(&drainPlan{began: began, acceptAllUntil: acceptAllUntil, end: end})
}

// EndRequests ends the requests in progress. Those whose response has not begun get one that
// does not promise that they have not run.
func (s *Server) EndRequests() {
	s.drain.init()
	s.drain.endAll(errProcessEnds)
}

// requestContext returns the context of a request: it ends with the deadline, when the caller
// leaves, and with EndRequests.
func (s *Server) requestContext(caller context.Context, deadline time.Time) (context.Context, func()) {
	s.drain.init()
	ctx, cancelCause := context.WithCancelCause(caller)
	stop := context.AfterFunc(s.drain.ending, func() { cancelCause(errProcessEnds) })
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		stop()
		cancel()
		cancelCause(nil)
	}
}

// mayComplete reports whether a request that arrived now is complete before the process ends: at its
// deadline at the latest, and as a rule after the longest time that requests of its route took.
func (s *Server) mayComplete(now time.Time, route string, deadline time.Time) bool {
	plan := s.drain.plan.Load()
	if plan == nil || now.Before(plan.acceptAllUntil) || !deadline.After(plan.end) {
		return true
	}
	longest, known := s.durations.longest(now, route)
	return known && !now.Add(longest+silenceAllowance).After(plan.end)
}

// durationWindow is the least time for which durations are remembered, and half of the longest.
const durationWindow = 30 * time.Second

// durations holds the longest recent duration of the requests of each route. It is safe for concurrent use.
type durations struct {
	mu                sync.Mutex // leaf
	current, previous map[string]time.Duration
	since             time.Time // start of current
}

// record adds the duration of a request that ran.
func (d *durations) record(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	d.current[route] = max(d.current[route], took)
}

// longest returns the longest recent duration. It returns false if no request of the route ran recently.
func (d *durations) longest(now time.Time, route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	current, inCurrent := d.current[route]
	previous, inPrevious := d.previous[route]
	return max(current, previous), inCurrent || inPrevious
}

// rotate forgets old durations. The caller holds d.mu.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.since)
	if age < durationWindow {
		return
	}
	d.previous = d.current
	if age >= 2*durationWindow {
		d.previous = nil
	}
	d.current, d.since = make(map[string]time.Duration), now
}
