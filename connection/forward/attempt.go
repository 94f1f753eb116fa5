package forward

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// connectTimeout is several round trips within a region. TCP retransmits a
	// lost SYN only after a second, which is too late to wait for.
	connectTimeout = 250 * time.Millisecond
	// responseHeadBytes bounds the head of an endpoint's response.
	responseHeadBytes = 32 << 10
	// maxBufferedBytes bounds a response that is buffered before it is passed on, and
	// maxBufferedTotal all of them. It is a part of the memory of a small host.
	maxBufferedBytes = 8 << 20
	maxBufferedTotal = 48 << 20
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	grant        *balance.Grant
	permit       *Permit // for the grant; nil if it needed none
	ctx          context.Context
	cancel       func()    // ends ctx; nil if that is the request's
	successorIn  *takeover // of which it is the successor; nil if it is none
	usable       func(c *http1.Conn) bool
	conn         *http1.Conn
	stopWatch    func() bool // stops watching the context
	sentAt       time.Time
	firstAt      time.Time // first byte of the response
	begunAt      time.Time // first event of a stream
	lastAt       time.Time // last event of a stream
	events       int       // of a stream, passed on
	continues    bool      // it goes on with a stream of which the caller has events
	stream       *events   // of its body; nil until openStream
	head         *http1.Head
	response     Response
	body         *http1.Body
	retryAllowed bool // the retry that follows already counts against the budget
	noReuse      bool // the connection carried a response that may be to another request, or an unread rest
	hadResponse  bool // the connection carried a response before the one that is awaited

	// What collect adds to the record of the request.
	index      int   // of its connection there
	dials      int   // connections opened
	mismatched int   // responses on the connection that were to other requests, or may have been
	reserved   int64 // bytes of its body

	data     []byte // of a body that is no stream
	dataErr  error  // of reading it
	dataRead bool

	relayed  bool        // to another router, not to an endpoint
	reached  bool        // a connection was established
	run      outcome.Run // whether the request ran, as far as is known
	err      error
	failure  balance.Failure
	released bool
	grantEnd sync.Once
	ejected  bool // the end of the grant ejected the endpoint
	crashed  bool // the endpoint was found to be down after it

	firstByteCounted atomic.Bool // for the rollout of its service
	crashedSilently  atomic.Bool // the endpoint was found to be down while its response was awaited
}

// bufferedResponse is a response whose body was read to its end.
type bufferedResponse struct {
	head *http1.Head
	body []byte
}

// sendAttempt sends the request to the granted endpoint and reads the head of
// the response. A failure is recorded in the attempt.
func (j *job) sendAttempt(g *balance.Grant) *attempt {
	a := j.newAttempt(j.requestCtx, g)
	j.exchange(a)
	j.collect(a)
	return a
}

// newAttempt adds an attempt to the record. It counts as a run until collect.
func (j *job) newAttempt(ctx context.Context, g *balance.Grant) *attempt {
	a := &attempt{grant: g, permit: j.permit, ctx: ctx, usable: j.usable(), run: outcome.RunNot, index: len(j.rec.Connections)}
	j.permit = nil
	j.rec.Endpoints = append(j.rec.Endpoints, g.ID)
	j.rec.EndpointVersions = append(j.rec.EndpointVersions, g.Version)
	j.rec.Connections = append(j.rec.Connections, Connection{})
	j.rec.LastGrant = *g
	j.tried = append(j.tried, g.ID)
	j.runs++
	j.rec.Runs = j.runs
	return a
}

// collect adds what an exchange showed to the request and its record.
func (j *job) collect(a *attempt) {
	if a.conn != nil {
		j.rec.Connections[a.index] = Connection{Local: a.conn.LocalAddr(), Remote: a.conn.RemoteAddr()}
	}
	j.rec.Dials += a.dials
	j.rec.MismatchedResponses += a.mismatched
	a.dials, a.mismatched = 0, 0
	if a.run == outcome.RunNot {
		j.runs--
		j.rec.Runs = j.runs
	}
	if a.head != nil && a.response.HasLoad {
		j.rec.ReportedLoad = a.response.Load.Running + a.response.Load.Waiting
	}
	if a.head != nil {
		j.recordPace(a)
	}
}

// exchange sends the request to the endpoint of an attempt and reads the head of the response. It changes the attempt only.
func (j *job) exchange(a *attempt) {
	if a.err = j.connect(a); a.err != nil {
		a.failure = balance.NotReached
		if resetAtOnce(a.err) {
			a.failure = balance.ResetAtOnce
		}
		if a.ctx.Err() != nil {
			a.failure = balance.Abandoned
		} else {
			j.s.Links.Failed(time.Now(), a.grant)
		}
		return
	}
	a.reached = true
	if a.successorIn != nil {
		a.successorIn.beginOverlap()
	}
	a.run = outcome.RunUnknown
	if a.err = j.send(a); a.err == nil || !a.sentAt.IsZero() && !a.endedForAnother(a.err) {
		a.err = j.readHead(a) // also after a failed write: the endpoint may have responded already
	}
	if a.err != nil {
		a.failure = j.classify(a, a.err)
		switch {
		case !a.firstAt.IsZero() || a.failure == balance.Abandoned:
		case a.failure == balance.TimedOut:
			j.s.Links.Late(time.Now(), a.grant)
		default:
			j.s.Links.Failed(time.Now(), a.grant)
		}
		return
	}
	if a.response.NotRun {
		a.run, a.failure = outcome.RunNot, balance.Shed
		if a.head.Status == http.StatusMisdirectedRequest {
			a.failure = balance.NotReached // the address now belongs to another endpoint
		}
	}
}

// endedForAnother reports whether an error says that the request goes on with the successor of an attempt.
func (a *attempt) endedForAnother(err error) bool {
	return errors.Is(err, errTakenOver) || errors.Is(err, errOutOfReach)
}

func (j *job) send(a *attempt) error {
	s := AttemptOptions{Timeout: time.Until(j.deadline), Endpoint: a.grant.ID, Workspace: j.workspace, LastEventID: j.lastEventID,
		FetchFrom: a.grant.FetchFrom, Priority: j.priority}
	head := j.s.Codec.EncodeRequest(j.x.Head, s, int64(len(j.x.Body)))
	a.sentAt = time.Now()
	if _, err := j.watchSilences(a); err != nil {
		return err
	}
	return a.conn.WriteAll(head, j.x.Body)
}

// errSlowFirstByte ends an attempt in favour of another router.
var errSlowFirstByte = errors.New("no first byte in time; trying another router")

// readBody reads the body of a response that is no stream, unless that was done. A silence within it is handled as one before it.
func (j *job) readBody(a *attempt) ([]byte, error) {
	if a.dataRead {
		return a.data, a.dataErr
	}
	a.dataRead = true
	if _, a.dataErr = j.watchSilences(a); a.dataErr != nil {
		return nil, a.dataErr
	}
	a.data, a.reserved, a.dataErr = a.body.ReadReserved(maxBufferedBytes, maxBufferedTotal, &j.s.buffered)
	if a.dataErr == nil && j.endedByCrash(a) {
		a.dataErr = errEndedByCrash
	}
	return a.data, a.dataErr
}

// classify returns the failure that an error means for the endpoint. A request
// whose context ended within its objective says nothing about the endpoint.
func (j *job) classify(a *attempt, err error) balance.Failure {
	switch {
	case j.callerGone(), j.endedBy() == EndedByProcess, a.ctx.Err() != nil && time.Since(a.sentAt) < j.route.Objective:
		return balance.Abandoned
	case a.ctx.Err() != nil && j.requestCtx.Err() == nil: // its takeover ended it
		return balance.Abandoned
	case a.ctx.Err() != nil, errors.Is(err, errSlowFirstByte), a.endedForAnother(err):
		return balance.TimedOut
	}
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return balance.TimedOut
	}
	return balance.Broken
}

// finish handles an attempt's response and reports whether the request has its
// final response. The endpoint is released in any case.
func (j *job) finish(a *attempt) bool {
	if a.err != nil || a.response.NotRun {
		if a.err == nil && a.head != nil {
			j.drain(a)
		}
		j.endFailed(a)
		return false
	}
	if isEventStream(a.head) {
		return j.stream(a)
	}
	if j.rec.HeadSent {
		j.drain(a)
		a.failure = balance.ServerError
		j.endFailed(a)
		return false // the caller already has a part of another endpoint's response
	}
	data, err := j.readBody(a)
	if err == nil && !isServerError(a.head.Status) {
		err = j.settle(a)
	}
	if err != nil {
		a.err, a.failure = errors.Wrap(err, "response truncated"), j.classify(a, err)
		j.endFailed(a)
		return false
	}
	buffered := &bufferedResponse{head: a.head, body: data}
	if isServerError(a.head.Status) {
		a.failure = balance.ServerError
		j.endFailed(a)
		j.lastResponse = buffered
		return j.takeover == nil && !j.mayRetryServerError() && j.respond(buffered)
	}
	j.release(a)
	j.recordCompletion(a)
	return j.respond(buffered)
}

// mayRetryServerError reports whether a request that got a server error may be
// retried at another endpoint. finish keeps the error for when that fails too.
func (j *job) mayRetryServerError() bool {
	return j.route.Retryable() && j.runs < j.maxRuns
}

// respond passes a buffered response on to the caller.
func (j *job) respond(buffered *bufferedResponse) bool {
	if promisesNotRun(buffered.head.Status) { // it may have run
		j.s.refuse(j.x, j.rec, outcome.EndpointFailed, 0)
		return true
	}
	j.rec.Status, j.rec.Code = buffered.head.Status, outcome.OK
	if buffered.head.Status >= http.StatusInternalServerError {
		j.rec.Code = outcome.EndpointFailed
	}
	j.rec.FirstByte = time.Since(j.rec.Arrived)
	fields := appendRelayFields(responseFields(buffered.head), j.rec, j.rec.Code)
	if err := j.x.Respond(buffered.head.Status, fields, buffered.body); err != nil {
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
	}
	return true
}

// release ends the grant, and pools or closes the connection.
func (j *job) release(a *attempt) {
	if a.released {
		return
	}
	a.released = true
	if t := j.takeover; t != nil && t.first == a {
		t.endFirst()
	}
	j.buffered += a.reserved
	j.endGrant(a, a.failure)
	if a.ejected {
		j.rec.Ejected = a.grant.ID
	}
	if a.cancel != nil {
		defer a.cancel()
	}
	if a.conn == nil {
		return
	}
	watchStopped := a.stopWatch()
	if watchStopped && a.err == nil && a.body != nil && a.body.Complete() && !a.head.Close && !a.noReuse {
		if a.failure != balance.NoFailure {
			j.recordAnswered(a.conn)
		}
		j.s.Pool.Put(a.conn, time.Now(), a.head.KeepAliveTimeout, j.maxIdle(a.grant.Service))
		return
	}
	_ = a.conn.Close() // cancels the request at the endpoint if it is still running
	if a.failure == balance.NotReached {
		j.s.Pool.CloseIdle(a.grant.Addr)
	}
}

// endGrant ends the grant with a result, unless it has ended.
func (j *job) endGrant(a *attempt, failure balance.Failure) {
	a.grantEnd.Do(func() {
		now, latency := time.Now(), time.Duration(0)
		if !a.firstAt.IsZero() {
			latency = a.firstAt.Sub(a.sentAt)
		} else if failure == balance.TimedOut {
			latency = now.Sub(a.sentAt)
		}
		g := *a.grant
		g.FirstByteCounted = a.firstByteCounted.Load()
		if a.head != nil && (failure == balance.NoFailure || failure == balance.ServerError) {
			g.Status = a.head.Status
		}
		a.ejected = j.s.Endpoints.Release(now, &g, failure, latency)
		a.grant.Reading, a.grant.ReadingBefore = 0, 0 // ended with the copy
		j.releasePermit(a, now, failure)
	})
}

// maxIdle returns how many idle connections to an endpoint are kept: half of this
// router's share of those that the endpoint accepts.
func (j *job) maxIdle(service string) int {
	const defaultMaxIdle = 64
	if svc := j.table.Service(service); svc != nil && svc.MaxConnections > 0 {
		return max(1, svc.MaxConnections/(2*max(1, j.s.RouterCount())))
	}
	return defaultMaxIdle
}

// endFailed releases a failed attempt and records the failure.
func (j *job) endFailed(a *attempt) {
	j.release(a)
	j.recordCrash(a)
	j.recordFailure(a)
}

// silentFor returns for how long the endpoint has sent nothing of its response.
func (a *attempt) silentFor(now time.Time) time.Duration {
	for _, last := range []time.Time{a.lastAt, a.firstAt, a.sentAt} {
		if !last.IsZero() {
			return now.Sub(last)
		}
	}
	return 0
}

// eventMS returns the mean time between the events of a stream in milliseconds, to a tenth, or 0 if it had fewer than two.
func (a *attempt) eventMS() float64 {
	if a.events < 2 {
		return 0
	}
	mean := a.lastAt.Sub(a.begunAt) / time.Duration(a.events-1)
	return math.Round(10*mean.Seconds()*1000) / 10
}

// recordFailure adds a failed attempt to the record.
func (j *job) recordFailure(a *attempt) {
	f := FailedAttempt{Endpoint: a.grant.ID, Failure: a.failure, Run: a.run, AfterMS: time.Since(j.rec.Arrived).Milliseconds(), Crashed: a.crashed}
	if a.err != nil {
		f.Error, f.EndedBy, f.SilentMS = a.err.Error(), j.endedBy(), a.silentFor(time.Now()).Milliseconds()
		f.Events, f.EventMS = a.events, a.eventMS()
	} else if a.head != nil {
		f.Status = a.head.Status
	}
	j.rec.FailedAttempts = append(j.rec.FailedAttempts, f)
	j.rec.Fingerprint = j.fingerprint()
	if j.rec.Parts == nil {
		j.rec.Parts = partIDs(j.req.Parts)
	}
}
