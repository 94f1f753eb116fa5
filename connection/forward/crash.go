package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// fingerprint identifies the request among those of other ids. Callers that try
// again send the same target and body with the same API key.
func (j *job) fingerprint() suspect.Fingerprint {
	if j.body == 0 {
		j.body = j.computeFingerprint()
	}
	return j.body
}

func (j *job) computeFingerprint() suspect.Fingerprint {
	return suspect.FingerprintOf(j.workspace, "", j.x.Head.Method+" "+j.x.Head.Target, j.x.Body)
}

// checkQuarantine refuses the request, for the time that it returns, if its body or a part of
// its prompt crashed endpoints.
func (j *job) checkQuarantine() (outcome.Code, time.Duration) {
	now := time.Now()
	part, wait := j.s.Quarantine.CheckParts(now, j.sharedParts())
	if wait > 0 {
		j.rec.QuarantinedPart = part
		return outcome.PartQuarantined, wait
	}
	if j.s.Quarantine.Empty() {
		return outcome.OK, 0
	}
	j.sent, wait = j.s.Quarantine.Check(now, j.fingerprint())
	if wait > 0 {
		return outcome.BodyQuarantined, wait
	}
	return outcome.OK, 0
}

// sharedParts returns the parts of the prompt but the last, which belongs to the request
// or its session.
func (j *job) sharedParts() []uint64 {
	if j.shared == nil && len(j.req.Parts) > 1 {
		j.shared = partIDs(j.req.Parts[:len(j.req.Parts)-1])
	}
	return j.shared
}

// maxCrashChecks bounds the checks in progress beside their requests.
const maxCrashChecks = 16

// beginCrashCheck reports whether a check may run beside its request. The caller
// subtracts it from crashChecks at its end.
func (s *Server) beginCrashCheck() bool {
	if s.crashChecks.Add(1) <= maxCrashChecks {
		return true
	}
	s.crashChecks.Add(-1)
	return false
}

// recordCrash records a failed attempt whose endpoint went down with it. If the
// request has ended, the check goes on after its response.
func (j *job) recordCrash(a *attempt) {
	lost := a.failure == balance.Broken || a.failure == balance.TimedOut
	if !a.reached || !lost {
		return
	}
	if a.crashedSilently.Load() {
		a.crashed = true
		return
	}
	f, sent, run := j.fingerprint(), j.sent, j.runOf(a)
	if j.requestCtx.Err() == nil {
		a.crashed = j.checkCrash(j.requestCtx, a, f, sent, run)
		return
	}
	if !j.s.beginCrashCheck() {
		return
	}
	ctx := context.WithoutCancel(j.requestCtx)
	go func() {
		defer j.s.crashChecks.Add(-1)
		j.checkCrash(ctx, a, f, sent, run)
	}()
}

// runOf describes an attempt for the search for parts that crash endpoints.
func (j *job) runOf(a *attempt) quarantine.Run {
	return quarantine.Run{Endpoint: a.grant.ID, SentAt: a.sentAt, BegunAt: a.begunAt, Parts: j.sharedParts()}
}

// maxSilence bounds the wait for the first byte after which an endpoint is probed.
const maxSilence = 1500 * time.Millisecond

// probeWhenSilent probes the endpoint if the response does not begin in time, as a crash may
// leave the connection open. It only records the crash: an endpoint that accepts no
// connections may still respond, and a run that completes clears the body. The returned
// function ends the watch.
func (j *job) probeWhenSilent(a *attempt) (stop func() bool) {
	if j.route.Objective <= 0 {
		return func() bool { return true }
	}
	ctx, sent, run := context.WithoutCancel(j.requestCtx), j.sent, j.runOf(a) // as the job goes on beside the timer's goroutine
	return time.AfterFunc(min(firstByteFactor*j.route.Objective, maxSilence), func() {
		j.s.Links.Late(time.Now(), a.grant)
		if !j.s.Endpoints.DownSince(a.sentAt, a.grant) && !j.s.Endpoints.Probe(time.Now(), a.sentAt, a.grant) || !j.s.beginCrashCheck() {
			return
		}
		defer j.s.crashChecks.Add(-1)
		if j.checkCrash(ctx, a, j.computeFingerprint(), sent, run) {
			a.crashedSilently.Store(true)
		}
	}).Stop
}

// errEndedByCrash is the error of a response without a length whose endpoint went down.
var errEndedByCrash = errors.New("the endpoint went down at the end of a response without a length")

// endedByCrash reports whether a response without a length, which ends with its
// connection, ended because its endpoint crashed. An endpoint that cannot be reached
// for other reasons had closed the connection in order.
func (j *job) endedByCrash(a *attempt) bool {
	return a.head.Length == http1.UntilClose && errors.Is(j.connectAgain(a.ctx, a), syscall.ECONNREFUSED)
}

// checkCrash records a crash, and returns true, if no connection to the endpoint can be
// opened any more, which tells it from a single connection that broke.
func (j *job) checkCrash(ctx context.Context, a *attempt, f suspect.Fingerprint, sent quarantine.State, run quarantine.Run) bool {
	if !j.s.Endpoints.DownSince(a.sentAt, a.grant) {
		if err := j.connectAgain(ctx, a); err == nil || resetAtOnce(err) {
			return false
		}
	}
	now := time.Now()
	if j.s.Endpoints.FellUnderLoad(now, a.grant) {
		return false
	}
	j.s.Links.Conclude(ctx, a.grant, func() {
		j.s.Quarantine.PartsLost(now, run)
		j.s.Quarantine.Crashed(now, f, sent, a.grant.ID, a.sentAt)
	})
	return true
}

const (
	// resetDials is how often a connection is opened that is reset at once, and resetPause the time
	// between: a process that ends resets those that it has not accepted, and then refuses them.
	resetDials = 3
	resetPause = 20 * time.Millisecond
)

// resetAtOnce reports whether err is that of a connection that was accepted and reset while it was
// being opened. Whether the reset is noticed then or at the first use is a matter of chance.
func resetAtOnce(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// connectAgain opens another connection to the endpoint of an attempt, which the pool
// keeps, and ejects an endpoint that cannot be reached. It returns nil if the request
// ended meanwhile.
func (j *job) connectAgain(ctx context.Context, a *attempt) error {
	conn, err := j.s.Pool.Dial(ctx, a.grant.Addr, connectTimeout)
	for i := 1; i < resetDials && resetAtOnce(err) && ctx.Err() == nil; i++ {
		time.Sleep(resetPause)
		conn, err = j.s.Pool.Dial(ctx, a.grant.Addr, connectTimeout)
	}
	now := time.Now()
	switch {
	case err == nil:
		j.s.Pool.Put(conn, now, 0, j.maxIdle(a.grant.Service))
	case ctx.Err() != nil:
		return nil
	case resetAtOnce(err):
		j.s.Pool.CloseIdle(a.grant.Addr)
	default:
		j.s.Endpoints.RecordUnreachable(now, a.grant)
		j.s.Pool.CloseIdle(a.grant.Addr)
	}
	return err
}

// recordCompletion records that the request ran to its end. A response without a length
// does not show that, as its endpoint may listen again after a crash.
func (j *job) recordCompletion(a *attempt) {
	if a.head.Status >= 300 || a.head.Length == http1.UntilClose {
		return
	}
	now := time.Now()
	j.s.Quarantine.PartsCompleted(now, j.sharedParts())
	j.s.Quarantine.Completed(now, j.fingerprint())
}
