package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/pace"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// retryElsewhere is the Retry-After of a draining router while others take requests.
	retryElsewhere = 50 * time.Millisecond
	// restartTime is how long the next process of a host needs to take requests, as a rule.
	restartTime = 500 * time.Millisecond
)

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

// endedBy returns what has ended the request, or "".
func (j *job) endedBy() EndedBy {
	switch cause := context.Cause(j.requestCtx); {
	case cause == nil:
		return ""
	case errors.Is(cause, errProcessEnds):
		return EndedByProcess
	case errors.Is(cause, context.DeadlineExceeded):
		return EndedByDeadline
	}
	return EndedByCaller
}

// mayComplete reports whether a request that arrived now is complete before the process ends: at its
// deadline at the latest, and as a rule within the bound that its route and its size give. It records what
// it compared.
func (s *Server) mayComplete(now time.Time, rec *Record, size pace.Size, deadline time.Time) bool {
	plan := s.drain.plan.Load()
	if plan == nil || now.Before(plan.acceptAllUntil) || !deadline.After(plan.end) {
		return true
	}
	bound, known := s.paces.Bound(now, rec.Route, size)
	rec.Left, rec.Bound = plan.end.Sub(now), bound
	return known && bound <= rec.Left-pace.Silence
}

// retryAfterDrain returns the Retry-After of a request that a draining router refuses: another router
// takes it at once or, if none is ready, the process that follows this one.
func (s *Server) retryAfterDrain(now time.Time) time.Duration {
	plan := s.drain.plan.Load()
	if plan == nil || s.OthersReady() {
		return retryElsewhere
	}
	return max(retryElsewhere, plan.end.Add(restartTime).Sub(now))
}

// recordPace records how long a request took that an endpoint ran, unless a part of its stream had run before.
func (s *Server) recordPace(now time.Time, rec *Record, size pace.Size) {
	if rec.Runs == 0 || rec.LastEventID >= 0 {
		return
	}
	s.paces.Record(now, rec.Route, pace.Run{Size: size, Took: rec.Duration, Complete: rec.Code == outcome.OK && rec.Status < http.StatusMultipleChoices})
}
