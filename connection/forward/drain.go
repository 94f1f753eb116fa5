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
	// restartTime is how long after the exit of a process the next one of its host takes requests, as a rule.
	restartTime = 350 * time.Millisecond
)

// errTooLateToBegin ends a stream before its first event is passed on.
var errTooLateToBegin = errors.New("the stream would not be complete before the process ends")

// errProcessEnds ends the requests that are in progress when the process ends.
var errProcessEnds = errors.New("the process ends")

// drain is the end of a process that is being stopped. Its zero value is that of one that is not.
type drain struct {
	plan       atomic.Pointer[DrainPlan]
	waiting    context.Context // its end ends the requests whose response has not begun
	endWaiting context.CancelFunc
	all        context.Context // its end ends all requests
	endAll     context.CancelFunc
	prepare    sync.Once
}

// DrainPlan is when a process that is being stopped ends what.
type DrainPlan struct {
	Began           time.Time // no later than the process was told to stop
	AddressesExpire time.Time // until then callers may have the addresses of routers that have left
	End             time.Time // of the requests whose response has not begun
	StreamsEnd      time.Time // of the streams that have begun
	Exit            time.Time // of the process
}

// hasMoreTime reports whether the process has more time for a request than the one that follows it.
func (p *DrainPlan) hasMoreTime(now, deadline time.Time) bool {
	return p.End.Sub(now) >= deadline.Sub(p.Exit.Add(restartTime))
}

// Others counts the other routers.
type Others struct {
	Ready   int // they take requests
	Unready int // they do not, but callers may have their addresses
}

// responseState tells whether the response of a request has begun.
type responseState = int32

const (
	responseWaiting responseState = iota
	responseBegun                 // it goes on until streams end
	responseDenied                // EndWaiting came before it
)

// since returns the time from the beginning of the drain to t, or 0 if t is before it.
func (d *drain) since(t time.Time) time.Duration {
	if plan := d.plan.Load(); plan != nil {
		return max(0, t.Sub(plan.Began))
	}
	return 0
}

func (d *drain) init() {
	d.prepare.Do(func() {
		d.waiting, d.endWaiting = context.WithCancel(context.Background())
		d.all, d.endAll = context.WithCancel(context.Background())
	})
}

// StartDrain begins a drain.
func (s *Server) StartDrain(plan DrainPlan) { s.drain.plan.Store(&plan) }

// EndWaiting ends the requests in progress whose response has not begun. They get one that does not
// promise that they have not run.
func (s *Server) EndWaiting() {
	s.drain.init()
	s.drain.endWaiting()
}

// EndRequests ends all requests in progress.
func (s *Server) EndRequests() {
	s.EndWaiting()
	s.drain.endAll()
}

// requestContext returns the context of a job: it ends with the deadline, when the caller leaves, with
// EndWaiting unless the response has begun, and with EndRequests.
func (s *Server) requestContext(caller context.Context, j *job) (context.Context, func()) {
	s.drain.init()
	ctx, cancelCause := context.WithCancelCause(caller)
	stopWaiting := context.AfterFunc(s.drain.waiting, func() {
		if j.response.CompareAndSwap(responseWaiting, responseDenied) {
			cancelCause(errProcessEnds)
		}
	})
	stop := context.AfterFunc(s.drain.all, func() { cancelCause(errProcessEnds) })
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	return ctx, func() {
		stopWaiting()
		stop()
		cancel()
		cancelCause(nil)
	}
}

// beginStream returns an error if the process ends the request before its stream, or would probably cut a late one. A
// stream that may not run again begins in any case.
func (j *job) beginStream(now time.Time) error {
	if j.rec.Left > 0 && !j.rec.LastResort && j.pace != nil && j.mayRunAgain() && !j.rec.Relayed && !j.s.mayStillComplete(now, j) {
		return errTooLateToBegin
	}
	if !j.response.CompareAndSwap(responseWaiting, responseBegun) {
		return errProcessEnds
	}
	return nil
}

// mayStillComplete reports whether a stream that came late in a drain is probably complete before the process ends, now
// that its first event is here.
func (s *Server) mayStillComplete(now time.Time, j *job) bool {
	end := s.drain.plan.Load().StreamsEnd
	rest, known := s.paces.Rest(now, j.pace)
	return known && rest <= end.Sub(now) || !j.deadline.After(end)
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

// takes reports whether the process takes a request that arrived now: if it is complete before the process ends, at its
// deadline at the latest, or within the bound that its route and its size give. A caller that is refused goes to another
// router, but while it may choose one that is being stopped as well, its request is also taken if the longest of its kind fits without a
// silence, or as a last resort if no router has more time for it. takes records what it compared.
func (s *Server) takes(now time.Time, service string, rec *Record, size pace.Size, deadline time.Time) bool {
	plan := s.drain.plan.Load()
	if plan == nil || !deadline.After(plan.End) {
		return true
	}
	bound, known := s.paces.Bound(now, rec.Route, service, size)
	rec.Left, rec.Bound = plan.End.Sub(now), bound
	if known && bound <= rec.Left-pace.Silence {
		return true
	}
	if rec.Others.Ready > 0 && rec.Others.Unready == 0 || !now.Before(plan.AddressesExpire) {
		return false
	}
	most := bound
	if longest, ok := s.paces.Longest(now, rec.Route, service, size); ok {
		most, rec.Longest = longest, longest
	}
	if known && most <= rec.Left {
		return true
	}
	rec.LastResort = rec.Others.Ready == 0 && plan.hasMoreTime(now, deadline)
	return rec.LastResort
}

// refuseToBegin sends the response to a stream that would not be complete. It does not promise that it has not run.
func (j *job) refuseToBegin() { j.s.refuse(j.x, j.rec, outcome.TooLateToBegin, 0) }

// retryAfterDrain returns the Retry-After of a request that a draining router refuses: another router
// takes it at once or, if none is ready, the process that follows this one.
func (s *Server) retryAfterDrain(now time.Time) time.Duration {
	plan := s.drain.plan.Load()
	if plan == nil || s.Others().Ready > 0 {
		return retryElsewhere
	}
	return max(retryElsewhere, plan.Exit.Add(restartTime).Sub(now))
}

// recordPace records how long a request took that an endpoint ran, unless a part of its stream had run before.
func (s *Server) recordPace(now time.Time, rec *Record, service string, size pace.Size) {
	if rec.Runs == 0 || rec.LastEventID >= 0 {
		return
	}
	s.paces.Record(now, rec.Route, pace.Run{Size: size, Took: rec.Duration, First: rec.firstEvent(), Events: rec.Events, Service: service, Complete: rec.Code == outcome.OK && rec.Status < http.StatusMultipleChoices})
}
