package forward

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// stream passes events on as they arrive and reports whether the request has
// its final response. When a resumable stream breaks, the caller's response is
// left open: the next attempt resumes it after the last event passed on.
func (j *job) stream(a *attempt) bool {
	if j.rec.HeadSent {
		j.rec.Resumed++
	}
	err := j.copyEvents(a)
	if err == io.EOF && j.endedByCrash(a) {
		err = errEndedByCrash
	}
	if err == io.EOF {
		err = j.settleEnd(a)
	}
	if err == nil {
		j.release(a)
		j.recordCompletion(a)
		j.endStream(a)
		return true
	}
	a.err = err
	if errors.Is(err, errTooLateToBegin) {
		a.failure = balance.Abandoned
		j.endFailed(a)
		j.refuseToBegin()
		return true
	}
	if errors.Is(err, errCallerConn) {
		a.failure = balance.Abandoned
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
		j.release(a)
		j.x.Abort()
		return true
	}
	a.failure = j.classify(a, err)
	switch {
	case !errors.Is(err, errNoEvents):
	case j.lastEventID >= 0:
		a.failure = balance.Abandoned // the endpoint may be right
	case a.head.Length != http1.UntilClose:
		a.failure = balance.ServerError // counts against the others' errors
	}
	j.endFailed(a)
	return false
}

// errNoEvents ends an attempt whose response is complete without any event.
var errNoEvents = errors.New("the response has no event; the end of the stream needs the word of another endpoint")

// endsToConfirm is the number of endpoints that must agree that a stream has ended if the last
// one sent no event.
const endsToConfirm = 2

// settleEnd handles that a stream has ended in order. An end that needs the word of another endpoint ends no successor.
func (j *job) settleEnd(a *attempt) error {
	if t := j.takeover; t != nil && a.events == 0 && !j.hasAllEvents() {
		t.await()
	} else if err := j.settle(a); err != nil {
		return err
	}
	err := j.confirmEnd(a)
	if err == nil && j.takeover != nil {
		j.takeover.decide(TakeoverNotNeeded)
		j.endSuccessor()
	}
	return err
}

// confirmEnd returns nil if the caller may take the stream for complete at the end of an
// attempt's response. Of a response without events the router cannot tell whether nothing was left to
// send or its endpoint failed.
func (j *job) confirmEnd(a *attempt) error {
	if a.events > 0 || j.hasAllEvents() {
		return nil
	}
	if a.head.Length == http1.UntilClose && j.lastEventID < 0 {
		return errNoEvents // cut after the head
	}
	if j.ends++; j.ends >= endsToConfirm {
		return nil
	}
	if !j.rec.HeadSent { // it is the endpoint's own response, and not joined to another one
		j.lastResponse = &bufferedResponse{head: a.head}
	}
	return errNoEvents
}

// hasAllEvents reports whether the caller has as many events as there may be. An event has at least one token.
func (j *job) hasAllEvents() bool { return j.req.TokensOut > 0 && j.rec.Events >= j.req.TokensOut }

// endStream completes the caller's response.
func (j *job) endStream(a *attempt) {
	if !j.rec.HeadSent {
		j.writeHead(a.head.Status, j.streamFields(a))
	}
	if err := j.x.End(); err != nil {
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
	}
}

// streamFields returns the fields of the head of a stream.
func (j *job) streamFields(a *attempt) []http1.Field {
	return appendRelayFields(responseFields(a.head), j.rec, outcome.OK)
}

// errCallerConn marks an error of the caller's connection.
var errCallerConn = errors.New("caller's connection")

// openStream prepares to read the events of an attempt, unless that was done, and makes its silences lead to
// another endpoint.
func (j *job) openStream(a *attempt) error {
	if a.stream == nil {
		a.continues = j.rec.HeadSent && j.lastEventID >= 0
		a.stream = newEvents(a.body, func(event []byte) error { return j.acceptEvent(a, event) })
	}
	if !j.route.Resumable || a.relayed { // the other router looks after a relayed stream
		return nil
	}
	return j.watchSilence(a, streamIdleTimeout(j.route.GapObjective))
}

func (j *job) copyEvents(a *attempt) error {
	if err := j.openStream(a); err != nil {
		return err
	}
	for {
		data, err := a.stream.next()
		if err != nil {
			return err
		}
		a.lastAt = time.Now()
		j.pace.Progress(a.lastAt, j.rec.Events)
		if a.begunAt.IsZero() {
			a.begunAt = a.lastAt
			if !a.relayed {
				j.s.Endpoints.RecordFirstEvent(a.lastAt, a.grant)
			}
		}
		if !a.relayed {
			j.recordOrigin(a)
		}
		if !j.rec.HeadSent {
			if err := j.beginStream(a.lastAt); err != nil {
				return err
			}
			j.writeHead(a.head.Status, j.streamFields(a))
		}
		if err := j.x.Write(data); err != nil {
			return errors.Wrap(errCallerConn, err.Error())
		}
	}
}

// writeHead writes the head of the response. The head of the first endpoint is
// kept when the stream is resumed at another one.
func (j *job) writeHead(status int, fields []http1.Field) {
	j.rec.HeadSent = true
	j.rec.Status = status
	j.rec.FirstByte = time.Since(j.rec.Arrived)
	_ = j.x.WriteHead(status, fields) // only fills a buffer; errors are reported by the write of the first event
}

func isEventStream(h *http1.Head) bool {
	return h.Status == http.StatusOK && strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
