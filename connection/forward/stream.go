package forward

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// stream passes events on as they come and reports whether the request has its
// final answer. A resumable stream that breaks is left open: the next attempt
// goes on after the last event that the caller got.
func (j *job) stream(a *attempt) bool {
	if j.rec.HeadSent {
		j.rec.Resumed++
	}
	err := j.copyEvents(a)
	if err == io.EOF {
		j.release(a)
		if err := j.x.End(); err != nil {
			j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
		}
		return true
	}
	a.err = err
	if errors.Is(err, errCaller) {
		a.failure = balance.Abandoned
		j.rec.Code, j.rec.Error = outcome.CallerGone, err.Error()
		j.release(a)
		j.x.Abort()
		return true
	}
	a.failure = j.classify(a, err)
	j.release(a)
	j.note(a)
	return false
}

// errCaller marks an error of the caller's connection.
var errCaller = errors.New("caller's connection")

func (j *job) copyEvents(a *attempt) error {
	ev := newEvents(a.body)
	fields := answerFields(a.head)
	idle := idleDeadline(j.route.GapObjective)
	if !j.route.Resumable {
		idle = 0 // nothing better can be done than to wait
	}
	for {
		if err := j.awaitEvents(a, idle); err != nil {
			return err
		}
		events, err := ev.next()
		if err == io.EOF && !j.rec.HeadSent {
			j.begin(a.head.Status, fields)
		}
		if err != nil {
			return err
		}
		if events.first >= 0 && events.first <= j.lastEvent {
			return errors.Errorf("event %d again", events.first)
		}
		if !j.rec.HeadSent {
			j.begin(a.head.Status, fields)
		}
		if err := j.x.Write(events.data); err != nil {
			return errors.Wrap(errCaller, err.Error())
		}
		j.rec.Events += events.count
		if events.last >= 0 {
			j.lastEvent = events.last
		}
	}
}

// awaitEvents sets the time by which the next event must be there.
func (j *job) awaitEvents(a *attempt, idle time.Duration) error {
	if idle <= 0 {
		return nil
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return err
	}
	// The deadline of an ended context must not be moved back.
	return j.ctx.Err()
}

// begin writes the head of the answer. The head of the first endpoint holds
// for the whole stream.
func (j *job) begin(status int, fields []http1.Field) {
	j.rec.HeadSent = true
	j.rec.Status = status
	j.rec.FirstByte = time.Since(j.rec.Arrived)
	_ = j.x.WriteHead(status, fields) // only fills a buffer; the first event's write reports errors
}
