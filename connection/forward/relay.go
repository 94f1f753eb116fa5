package forward

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/frontend"
	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// RelayFieldPrefix begins the names of the header fields between routers. They are
// dropped from the requests of callers and from the responses of endpoints.
const RelayFieldPrefix = "Stoatmount-Relay-"

const (
	relayFieldRuns = RelayFieldPrefix + "Runs" // endpoints that may have run the request
	relayFieldCode = RelayFieldPrefix + "Code" // outcome.Code of the other router
)

const (
	// maxRelays bounds the routers to which a request is relayed.
	maxRelays = 3
	// maxUnreached is the number of endpoints that a request fails to reach before another
	// router is tried.
	maxUnreached = 2
)

// RelayHandler serves the requests that other routers pass on.
func (s *Server) RelayHandler() frontend.Handler { return relayHandler{s} }

type relayHandler struct{ s *Server }

// Serve implements frontend.Handler.
func (h relayHandler) Serve(ctx context.Context, x *frontend.Exchange) { h.s.serve(ctx, x, true) }

// UnknownRouterHandler refuses requests that come as those of another router from a host at
// which none is known. The router that sent one learns that it has not run.
func (s *Server) UnknownRouterHandler() frontend.Handler { return unknownRouterHandler{s} }

type unknownRouterHandler struct{ s *Server }

// Serve implements frontend.Handler.
func (h unknownRouterHandler) Serve(_ context.Context, x *frontend.Exchange) {
	rec := &Record{Arrived: x.Arrived, Method: x.Head.Method, Target: x.Head.Target, LastEventID: -1, Relayed: true}
	if req, err := h.s.Codec.DecodeRequest(x.Head); err == nil {
		rec.ID = req.ID // otherwise the refusal names none
	}
	x.CloseAfter()
	h.s.refuse(x, rec, outcome.UnknownRouter, retryRefused)
	rec.Duration = time.Since(rec.Arrived)
	h.s.Observer.Request(rec)
}

// relayRuns returns the number of endpoints that may have run a relayed request before. The
// router to which it was relayed runs it at one more at the most, so that the one that relays it
// knows how many there are when it gets no response.
func relayRuns(h *http1.Head) int {
	n, err := strconv.Atoi(h.Get(relayFieldRuns))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// appendRelayFields adds what the router that relayed the request needs to know.
func appendRelayFields(fields []http1.Field, rec *Record, code outcome.Code) []http1.Field {
	if !rec.Relayed {
		return fields
	}
	return append(fields, http1.Field{Name: relayFieldCode, Value: strconv.Itoa(int(code))}, http1.Field{Name: relayFieldRuns, Value: strconv.Itoa(rec.Runs)})
}

// IsRelayField reports whether a header field is between routers only.
func IsRelayField(name string) bool {
	return len(name) >= len(RelayFieldPrefix) && strings.EqualFold(name[:len(RelayFieldPrefix)], RelayFieldPrefix)
}

// repeatable reports whether the request may run at several endpoints.
func (j *job) repeatable() bool {
	return j.route.Retryable() && j.runs < j.maxRuns-1
}

// mayRelay reports whether the request may be passed on: it came from a caller, and few routers have
// had it.
func (j *job) mayRelay() bool { return !j.rec.Relayed && len(j.relays) < maxRelays }

// viaRelay reports whether the next attempt goes through another router.
func (j *job) viaRelay() bool {
	if !j.mayRelay() {
		return false
	}
	return j.unreached >= maxUnreached || j.s.Links.UseRelay(time.Now(), j.relayedService(), j.repeatable())
}

// relayUnreached passes a request on for which no endpoint is left here, if one of them was not
// reached: another router may reach it. It returns what relay does.
func (j *job) relayUnreached(refusal *balance.Refusal) (relayed, final bool) {
	if refusal.Code != outcome.NoEndpoint || j.unreached == 0 || !j.mayRelay() {
		return false, false
	}
	return j.relay()
}

// relayedService returns the service of the next attempt.
func (j *job) relayedService() string {
	if j.origin != nil {
		return j.origin.Service
	}
	return j.service()
}

// relay passes the request on to another router, if there is one, and reports whether it did
// and whether the request has its final response.
func (j *job) relay() (relayed, final bool) {
	addr, ok := j.s.Links.AcquireRelay(time.Now(), j.relayedService(), j.relays)
	if !ok {
		return false, false
	}
	defer j.s.Links.ReleaseRelay(addr)
	j.relays = append(j.relays, addr)
	j.rec.Relays = append(j.rec.Relays, addr)
	a := &attempt{grant: &balance.Grant{Service: j.relayedService(), Addr: addr}, ctx: j.requestCtx, usable: j.usable(), run: outcome.RunNot, relayed: true}
	final = j.sendRelay(a)
	j.closeRelay(a)
	j.rec.Dials += a.dials
	return true, final
}

// sendRelay sends the request to another router and passes its response on.
func (j *job) sendRelay(a *attempt) (final bool) {
	if a.err = j.connect(a); a.err != nil {
		return j.relayFailed(a)
	}
	a.reached = true
	a.run = outcome.RunUnknown
	if a.err = j.writeRelay(a); a.err == nil {
		a.err = j.readRelayHead(a)
	}
	if a.err != nil {
		j.runs++
		return j.relayFailed(a)
	}
	code, err := strconv.Atoi(a.head.Get(relayFieldCode))
	if err != nil {
		a.err = errors.New("response of a router without a result code")
		j.runs++
		return j.relayFailed(a)
	}
	j.runs = max(j.runs, relayRuns(a.head))
	if isEventStream(a.head) {
		return j.relayStream(a)
	}
	return j.relayResponse(a, outcome.Code(code))
}

func (j *job) writeRelay(a *attempt) error {
	o := RelayOptions{Timeout: time.Until(j.deadline), LastEventID: -1}
	if j.lastEventID != j.req.LastEventID {
		o.LastEventID, o.Resumes = j.lastEventID, j.streamID()
	}
	fields := []http1.Field{{Name: relayFieldRuns, Value: strconv.Itoa(j.runs)}}
	head := j.s.Codec.EncodeRelay(j.x.Head, o, int64(len(j.x.Body)), fields)
	a.sentAt = time.Now()
	return a.conn.WriteAll(head, j.x.Body)
}

// streamID returns the id of the attempt that began the stream.
func (j *job) streamID() string {
	if j.req.Resumes != "" {
		return j.req.Resumes
	}
	return j.req.ID
}

// readRelayHead reads the head of another router's response. A request that may be
// repeated does not wait longer than it does for an endpoint.
func (j *job) readRelayHead(a *attempt) error {
	if wait := firstByteFactor*j.route.Objective + connectTimeout; j.repeatable() && j.route.Objective > 0 && time.Until(j.deadline) > 2*wait {
		if err := a.conn.OnSilence(a.ctx, wait, func(bool) error { return j.onSilentRelay(a) }); err != nil {
			return err
		}
	}
	head, err := http1.ReadResponse(a.conn.R, responseHeadBytes, j.x.Head.Method)
	if err != nil {
		return err
	}
	if err := a.conn.OnSilence(a.ctx, 0, nil); err != nil {
		return err
	}
	a.firstAt = time.Now()
	response := j.s.Codec.DecodeResponse(head)
	if response.RequestID != j.req.ID {
		return errors.New("router's response to another request") // its own is still due on the connection
	}
	a.head, a.response, a.body = head, response, http1.NewBody(a.conn.R, head.Length)
	return nil
}

// onSilentRelay ends the attempt of a silent router if there is another one and the budget
// allows the retry.
func (j *job) onSilentRelay(a *attempt) error {
	if !j.hasRelay() || !j.s.RetryBudget.Allow(time.Now(), a.grant.Service) {
		return nil
	}
	a.retryAllowed = true
	return errSlowFirstByte
}

// elsewhere reports whether another router may do better after a refusal.
func elsewhere(code outcome.Code) bool {
	switch code {
	case outcome.Draining, outcome.NoConfig, outcome.NoEndpoint, outcome.UnknownRouter, outcome.OriginUnknown:
		return true
	}
	return false
}

// relayResponse passes a response with a body on.
func (j *job) relayResponse(a *attempt, code outcome.Code) (final bool) {
	data, reserved, err := a.body.ReadReserved(maxBufferedBytes, maxBufferedTotal, &j.s.buffered)
	j.buffered += reserved
	if err != nil {
		a.err = errors.Wrap(err, "router's response truncated")
		return j.relayFailed(a)
	}
	if elsewhere(code) && (!j.mayHaveRun || j.route.Retryable()) {
		a.run, a.err = outcome.RunNot, errors.Errorf("router refused with %s", code)
		return j.relayFailed(a)
	}
	if code == outcome.EndpointFailed && j.mayRetryServerError() {
		if a.response.Signed {
			j.lastResponse = &bufferedResponse{head: a.head, body: data}
		}
		a.err = errors.Errorf("router ended with %s", code)
		return j.relayFailed(a)
	}
	if j.rec.HeadSent {
		j.fail(code, 0) // the caller already has a part of another response
		return true
	}
	if promisesNotRun(a.head.Status) && (j.mayHaveRun || code.Info().Status != a.head.Status) {
		j.fail(outcome.EndpointFailed, 0) // an attempt of before may have run it, or the status is an endpoint's
		return true
	}
	j.rec.Status, j.rec.Code, j.rec.FirstByte = a.head.Status, code, time.Since(j.rec.Arrived)
	if err := j.x.Respond(a.head.Status, responseFields(a.head), data); err != nil {
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
	}
	return true
}

// relayStream passes a stream on.
func (j *job) relayStream(a *attempt) (final bool) {
	if j.rec.HeadSent {
		j.rec.Resumed++
	}
	err := j.copyEvents(a)
	if err == io.EOF {
		err = j.confirmEnd(a)
	}
	if err == nil {
		j.endStream(a)
		return true
	}
	a.err = err
	if errors.Is(err, errTooLateToBegin) {
		j.refuseToBegin()
		return true
	}
	if errors.Is(err, errCallerConn) {
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
		j.x.Abort()
		return true
	}
	return j.relayFailed(a)
}

// relayFailed records a failed relay and reports whether the request has its final
// response; otherwise it may be sent again.
func (j *job) relayFailed(a *attempt) (final bool) {
	j.rec.FailedAttempts = append(j.rec.FailedAttempts, FailedAttempt{Endpoint: a.grant.Addr, Failure: balance.Broken, Run: a.run,
		AfterMS: time.Since(j.rec.Arrived).Milliseconds(), EndedBy: j.endedBy(), SilentMS: a.silentFor(time.Now()).Milliseconds(), Error: a.err.Error()})
	if j.requestCtx.Err() != nil {
		j.fail(outcome.DeadlinePassed, 0)
		return true
	}
	if a.run == outcome.RunNot {
		return false
	}
	j.mayHaveRun = true
	code := outcome.OK
	switch {
	case !j.mayRunAgain() || j.runs >= j.maxRuns:
		code = outcome.EndpointFailed
	case !a.retryAllowed && !j.s.RetryBudget.Allow(time.Now(), a.grant.Service):
		code = outcome.RetryBudgetSpent
	case j.rec.HeadSent && j.origin == nil:
		code = j.findBegun()
	}
	if code == outcome.OK {
		return false
	}
	j.fail(code, retryRefused)
	return true
}

// findBegun finds the software that began the stream at another router.
func (j *job) findBegun() outcome.Code {
	if j.req.Resumes == "" {
		j.req.Resumes = j.req.ID
	}
	return j.findOrigin()
}

// closeRelay pools or closes the connection to another router.
func (j *job) closeRelay(a *attempt) {
	if a.conn == nil {
		return
	}
	watchStopped := a.stopWatch()
	if watchStopped && a.body != nil && a.body.Complete() && !a.head.Close {
		j.s.RelayPool.Put(a.conn, time.Now(), a.head.KeepAliveTimeout, maxIdleRelays)
		return
	}
	_ = a.conn.Close() // cancels the request at the other router if it is still running
}

// maxIdleRelays is the number of idle connections that are kept to another router.
const maxIdleRelays = 16
