package forward

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// block is what one event of a stream holds, or what stands in its place.
type block struct {
	id    int64 // -1 if it has none
	field bool  // it has a field of an event
	text  bool  // it has a line that is neither empty nor a comment
}

// eventFields begin the lines of an event that have a meaning.
var eventFields = [][]byte{[]byte("data"), []byte("event"), []byte("id"), []byte("retry")}

func parseBlock(p []byte) block {
	b := block{id: -1}
	for line := range bytes.Lines(p) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) == 0 {
			continue
		}
		b.text = true
		for _, f := range eventFields {
			b.field = b.field || bytes.Equal(name, f)
		}
		if string(name) == "id" && b.id < 0 {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && id >= 0 {
				b.id = id
			}
		}
	}
	return b
}

// numbering is what the ids of the events that a caller has show of the next one's.
type numbering struct {
	consecutive int  // ids that were one more than the id before
	skips       bool // ids increase by more than one at times
}

func (n *numbering) record(before, id int64) {
	switch {
	case id == before+1, before < 0 && id == 1: // numbered from 0 or from 1
		n.consecutive++
	case before >= 0:
		n.skips = true
	}
}

// known reports whether the next id is one more than the last.
func (n *numbering) known() bool { return n.consecutive > 0 && !n.skips }

// acceptEvent returns an error for an event that is not the next one of the caller's stream.
// What one endpoint sends is passed on as it is as long as it is events whose ids increase;
// where an endpoint goes on with the stream of another one, it must begin with the next id.
func (j *job) acceptEvent(a *attempt, event []byte) error {
	b := parseBlock(event)
	if b.text {
		if err := j.checkEvent(a, b); err != nil {
			return err
		}
	}
	if err := j.settle(a); err != nil || !b.text { // without text it keeps the connection alive
		return err
	}
	a.events++
	j.rec.Events++
	j.ends, j.unnumbered = 0, b.id < 0
	if b.id >= 0 {
		j.ids.record(j.lastEventID, b.id)
		j.lastEventID = b.id
	}
	return nil
}

// checkEvent does the checks of acceptEvent.
func (j *job) checkEvent(a *attempt, b block) error {
	joins := a.continues && a.events == 0
	switch {
	case !b.field:
		return errors.New("text that is no event within a stream")
	case b.id < 0 && joins:
		return errors.Errorf("the response that should go on after event %d begins without an id", j.lastEventID)
	case b.id >= 0 && b.id <= j.lastEventID:
		return errors.Errorf("event %d was already passed on", b.id)
	case joins && j.ids.known() && b.id != j.lastEventID+1:
		return errors.Errorf("the stream should go on with event %d and not with %d", j.lastEventID+1, b.id)
	}
	return nil
}

// mayRunAgain reports whether another endpoint may run the request, also within its response: after an
// event without an id, no endpoint can be told where to go on.
func (j *job) mayRunAgain() bool { return j.route.Retryable() && !j.unnumbered }
