package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// connectTimeout is several round trips within a region. A packet that is
	// lost is sent again only after a second, which is too late to wait for.
	connectTimeout = 250 * time.Millisecond
	// answerHeadBytes bounds the head of an endpoint's answer.
	answerHeadBytes = 32 << 10
	// wholeBytes bounds an answer that is read whole before it is passed on.
	wholeBytes = 8 << 20
	// strayAnswers is the most answers to other requests that are read away
	// before the one that is awaited.
	strayAnswers = 2
	// strayBytes bounds the body of such an answer.
	strayBytes = 1 << 20
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	grant       *balance.Grant
	conn        *http1.Conn
	stop        func() bool // ends the watch of the context
	sentAt      time.Time
	firstAt     time.Time // first byte of the answer
	head        *http1.Head
	answer      Response
	body        *http1.Body
	repeatTaken bool // the repeat that follows is drawn on the budget already
	stray       bool // the connection carried an answer to another request

	reached bool        // a connection was established
	run     outcome.Run // what the failure says of the request
	err     error
	failure balance.Failure
	done    bool
}

// whole is an answer that was read to its end.
type whole struct {
	head *http1.Head
	body []byte
}

// try sends the request to the granted endpoint and reads the head of the
// answer. A failure stands in the attempt.
func (j *job) try(g *balance.Grant) *attempt {
	a := &attempt{grant: g, run: outcome.RunNot}
	j.rec.Endpoints = append(j.rec.Endpoints, g.ID)
	j.rec.LastGrant = *g
	j.tried = append(j.tried, g.ID)
	if a.err = j.connect(a); a.err != nil {
		a.failure = balance.NotReached
		if j.ctx.Err() != nil {
			a.failure = balance.Abandoned
		}
		return a
	}
	a.reached = true
	j.runs++
	a.run = outcome.RunUnknown
	if a.err = j.send(a); a.err == nil || !a.sentAt.IsZero() {
		a.err = j.readHead(a)
	}
	if a.err != nil {
		a.failure = j.classify(a, a.err)
		return a
	}
	if a.answer.NotRun {
		j.runs--
		a.run, a.failure = outcome.RunNot, balance.Shed
		if a.head.Status == http.StatusMisdirectedRequest {
			a.failure = balance.NotReached // the address belongs to another endpoint now
		}
	}
	return a
}

// connect takes an idle connection or opens one.
func (j *job) connect(a *attempt) error {
	a.conn = j.s.Pool.Get(a.grant.Addr, time.Now())
	if a.conn == nil {
		c, err := j.s.Pool.Dial(j.ctx, a.grant.Addr, connectTimeout)
		if err != nil {
			return err
		}
		a.conn = c
		j.rec.Dials++
	}
	conn := a.conn
	a.stop = context.AfterFunc(j.ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // wakes a read or write in progress
	})
	return nil
}

func (j *job) send(a *attempt) error {
	s := AttemptOptions{Timeout: time.Until(j.deadline), Endpoint: a.grant.ID, Workspace: j.workspace, LastEventID: j.lastEvent,
		FetchFrom: a.grant.FetchFrom, Priority: j.urgency}
	head := j.s.Codec.EncodeRequest(j.x.Head, s, int64(len(j.x.Body)))
	a.sentAt = time.Now()
	var err error
	if len(j.x.Body) == 0 {
		_, err = a.conn.Write(head)
	} else {
		buffers := net.Buffers{head, j.x.Body}
		_, err = buffers.WriteTo(a.conn.Conn)
	}
	return err
}

// patienceShare of the objective is how long the first byte of a request that
// may be repeated is awaited before another endpoint is tried. An endpoint that
// is merely slow is left to finish: a second one would read the prompt again.
const patienceShare = 2

// errImpatient says that an endpoint was given up for another one.
var errImpatient = errors.New("no first byte in time; trying another endpoint")

// awaitFirst blocks until the answer begins. A request that may be repeated
// waits only a part of its objective if another endpoint may get it.
func (j *job) awaitFirst(a *attempt) error {
	if !j.mayAbandon(a.grant.Service) {
		return nil
	}
	patience := patienceShare * j.route.Objective
	if time.Until(j.deadline) < 2*patience {
		return nil
	}
	if err := a.conn.SetReadDeadline(a.sentAt.Add(patience)); err != nil {
		return err
	}
	if err := j.ctx.Err(); err != nil {
		return err // the deadline that its end has set was moved
	}
	_, err := a.conn.R.Peek(1)
	var t net.Error
	if errors.As(err, &t) && t.Timeout() && j.ctx.Err() == nil && j.s.RetryBudget.Allow(time.Now(), a.grant.Service) {
		a.repeatTaken = true
		return errImpatient
	}
	if err := a.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return j.ctx.Err()
}

// mayAbandon reports whether the request may run at another endpoint of the
// service besides this one.
func (j *job) mayAbandon(service string) bool {
	return j.route.Repeatable() && j.route.Objective > 0 && j.runs < j.route.MaxAttempts &&
		j.s.Endpoints.Candidates(time.Now(), j.want(service)) > 0
}

// readHead reads the head of the answer to this request.
func (j *job) readHead(a *attempt) error {
	if err := j.awaitFirst(a); err != nil {
		return err
	}
	for strays := 0; ; strays++ {
		head, err := http1.ReadResponse(a.conn.R, answerHeadBytes, j.x.Head.Method)
		if err != nil {
			return err
		}
		a.firstAt = time.Now()
		answer := j.s.Codec.DecodeResponse(head)
		body := http1.NewBody(a.conn.R, head.Length)
		if answer.RequestID == "" || answer.RequestID == j.req.ID {
			a.head, a.answer, a.body = head, answer, body
			if answer.HasLoad {
				j.s.Endpoints.RecordLoad(a.firstAt, a.grant, answer.Load.Running+answer.Load.Waiting)
			}
			return j.checkHead(a)
		}
		a.stray = true
		j.rec.MismatchedResponses++
		if strays >= strayAnswers || head.Close {
			return errors.New("answer to another request")
		}
		if _, err := body.ReadAll(strayBytes); err != nil {
			return errors.Wrap(err, "answer to another request")
		}
	}
}

// checkHead refuses an answer that is not the endpoint's own success or
// failure.
func (j *job) checkHead(a *attempt) error {
	if a.answer.NotRun {
		return nil
	}
	success := a.head.Status >= 200 && a.head.Status < 300
	if success && (!a.answer.Signed || a.answer.RequestID != j.req.ID) {
		return errors.New("success without the endpoint's seal or the request's id")
	}
	if success && a.head.Get("Content-Encoding") != "" {
		return errors.New("encoded body")
	}
	return nil
}

// classify says what an error means for the endpoint. A request whose time ran
// out before the endpoint had its objective says nothing of it.
func (j *job) classify(a *attempt, err error) balance.Failure {
	switch {
	case j.gone(), j.ctx.Err() != nil && time.Since(a.sentAt) < j.route.Objective:
		return balance.Abandoned
	case j.ctx.Err() != nil, errors.Is(err, errImpatient):
		return balance.TimedOut
	}
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return balance.TimedOut
	}
	return balance.Broken
}

// settle deals with an attempt's answer and reports whether the request has
// its final answer. The endpoint is released in any case.
func (j *job) settle(a *attempt) bool {
	if a.err != nil || a.answer.NotRun {
		if a.err == nil && a.head != nil {
			j.drain(a)
		}
		j.release(a)
		j.note(a)
		return false
	}
	if isEventStream(a.head) {
		return j.stream(a)
	}
	if j.rec.HeadSent {
		j.drain(a)
		a.failure = balance.ServerError
		j.release(a)
		j.note(a)
		return false // the caller has a part of another endpoint's answer
	}
	data, err := a.body.ReadAll(wholeBytes)
	if err != nil {
		a.err, a.failure = errors.Wrap(err, "answer cut short"), j.classify(a, err)
		j.release(a)
		j.note(a)
		return false
	}
	w := &whole{head: a.head, body: data}
	if a.head.Status >= http.StatusInternalServerError {
		a.failure = balance.ServerError
		j.release(a)
		j.note(a)
		j.held = w
		return !j.betterElsewhere() && j.pass(w)
	}
	j.release(a)
	return j.pass(w)
}

// betterElsewhere reports whether an endpoint's own failure may be tried again
// at another one. The failure is held and passed on if that fails too.
func (j *job) betterElsewhere() bool {
	return j.route.Repeatable() && j.runs < max(1, j.route.MaxAttempts)
}

// drain reads a short answer that is not passed on, so that its connection can
// be kept.
func (j *job) drain(a *attempt) {
	if _, err := a.body.ReadAll(strayBytes); err != nil {
		a.stray = true // not at the end of the answer: the connection is not kept
	}
}

// pass gives an endpoint's whole answer to the caller.
func (j *job) pass(w *whole) bool {
	j.rec.Status, j.rec.Code = w.head.Status, outcome.OK
	if w.head.Status >= http.StatusInternalServerError {
		j.rec.Code = outcome.EndpointFailed
	}
	j.rec.FirstByte = time.Since(j.rec.Arrived)
	if err := j.x.Respond(w.head.Status, answerFields(w.head), w.body); err != nil {
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
	}
	return true
}

// release gives the endpoint back and keeps or closes the connection.
func (j *job) release(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	now := time.Now()
	latency := time.Duration(0)
	if !a.firstAt.IsZero() {
		latency = a.firstAt.Sub(a.sentAt)
	} else if a.failure == balance.TimedOut {
		latency = now.Sub(a.sentAt)
	}
	if j.s.Endpoints.Release(now, a.grant, a.failure, latency) {
		j.rec.Ejected = a.grant.ID
	}
	if a.conn == nil {
		return
	}
	stopped := a.stop()
	if stopped && a.err == nil && a.body != nil && a.body.Complete() && !a.head.Close && !a.stray {
		j.s.Pool.Put(a.conn, now, a.head.KeepAliveTimeout, j.mostIdle(a.grant.Service))
		return
	}
	_ = a.conn.Close() // cancels the request at the endpoint if it still runs
	if a.failure == balance.NotReached {
		j.s.Pool.CloseIdle(a.grant.Addr)
	}
}

// mostIdle returns this router's share of the connections that an endpoint
// accepts.
func (j *job) mostIdle(service string) int {
	const unlimited = 64
	if svc := j.table.Service(service); svc != nil && svc.MaxConnections > 0 {
		return max(1, svc.MaxConnections/(2*max(1, j.s.RouterCount())))
	}
	return unlimited
}

// note records a failed attempt.
func (j *job) note(a *attempt) {
	f := FailedAttempt{Endpoint: a.grant.ID, Failure: a.failure, Run: a.run, AfterMS: time.Since(j.rec.Arrived).Milliseconds()}
	if a.err != nil {
		f.Error = a.err.Error()
	} else if a.head != nil {
		f.Status = a.head.Status
	}
	j.rec.FailedAttempts = append(j.rec.FailedAttempts, f)
}
