package forward

import (
	"io"
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
		j.release(a)
		j.recordCompletion(a)
		if err := j.x.End(); err != nil {
			j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
		}
		return true
	}
	a.err = err
	if errors.Is(err, errCallerConn) {
		a.failure = balance.Abandoned
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
		j.release(a)
		j.x.Abort()
		return true
	}
	a.failure = j.classify(a, err)
	j.endFailed(a)
	return false
}

// errCallerConn marks an error of the caller's connection.
var errCallerConn = errors.New("caller's connection")

func (j *job) copyEvents(a *attempt) error {
	ev := newEvents(a.body)
	fields := appendRelayFields(responseFields(a.head), j.rec, outcome.OK)
	if j.route.Resumable && !a.relayed { // the other router looks after a relayed stream
		idle := streamIdleTimeout(j.route.GapObjective)
		if err := a.conn.OnSilence(j.ctx, idle, func() error { return j.onSilence(a) }); err != nil {
			return err
		}
	}
	for {
		b, err := ev.next()
		if err == io.EOF && !j.rec.HeadSent {
			j.writeHead(a.head.Status, fields)
		}
		if err != nil {
			return err
		}
		if b.first >= 0 && b.first <= j.lastEventID {
			return errors.Errorf("event %d was already passed on", b.first)
		}
		a.lastAt = time.Now()
		if a.begunAt.IsZero() {
			a.begunAt = a.lastAt
		}
		if !a.relayed {
			j.recordOrigin(a)
		}
		if !j.rec.HeadSent {
			j.writeHead(a.head.Status, fields)
		}
		if err := j.x.Write(b.data); err != nil {
			return errors.Wrap(errCallerConn, err.Error())
		}
		j.rec.Events += b.count
		if b.last >= 0 {
			j.lastEventID = b.last
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
