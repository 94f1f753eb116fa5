package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// Bounds of a chat completion.
const (
	maxBodyBytes     = 16 << 20
	largestMaxTokens = 1 << 16
)

// chatRequest is the body of a chat completion. User is the caller's own id of
// the request, by which the statistics count.
type chatRequest struct {
	protocol.ChatRequest
	User string `json:"user"`
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request chatRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request)
	if err != nil || len(request.Messages) == 0 {
		e.refuse(w, r, &refusal{http.StatusBadRequest, "the body must be JSON with messages"})
		return
	}
	if request.MaxTokens > largestMaxTokens {
		e.refuse(w, r, &refusal{http.StatusBadRequest, "max_tokens is too large"})
		return
	}
	if refused := e.triggerRequestFaults(r); refused != nil {
		e.refuse(w, r, refused)
		return
	}
	header := r.Header
	priority, _ := strconv.Atoi(header.Get(protocol.HeaderPriority))
	s := newSequence(header.Get(protocol.HeaderRequestID), header.Get(protocol.HeaderSession), priority, &request.ChatRequest)
	s.callerRequestID = request.User
	if refused := e.submit(s); refused != nil {
		e.refuse(w, r, refused)
		return
	}
	defer e.detach(s)
	e.respond(w, r, s, request.Stream)
}

// triggerRequestFaults triggers the faults that precede the acceptance of a request.
func (e *Engine) triggerRequestFaults(r *http.Request) *refusal {
	if slow, ok := e.faults.Trigger(fault.Slow); ok {
		e.sleep(r, slow.Delay)
	}
	if _, ok := e.faults.Trigger(fault.TurnCold); ok {
		e.TurnCold()
	}
	if _, ok := e.faults.Trigger(fault.CrashBefore); ok {
		e.Crash("fault")
		panic(http.ErrAbortHandler)
	}
	if _, ok := e.faults.Trigger(fault.Refuse); ok {
		return &refusal{http.StatusServiceUnavailable, "refused"}
	}
	return nil
}

// refuse responds to a request that was not run.
func (e *Engine) refuse(w http.ResponseWriter, r *http.Request, refused *refusal) {
	w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	w.Header().Set(protocol.HeaderNotRun, "true")
	http.Error(w, refused.text, refused.status)
}

// respond sends the response to an accepted request.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, s *sequence, stream bool) {
	if _, ok := e.faults.Trigger(fault.LostReply); ok {
		e.awaitEnd(r, s)
		panic(http.ErrAbortHandler)
	}
	if _, ok := e.faults.Trigger(fault.NoAnswer); ok {
		e.hold(r)
	}
	rw := &responseWriter{engine: e, w: w, r: r, sequence: s, id: s.id}
	if _, ok := e.faults.Trigger(fault.Crossed); ok {
		rw.useOtherResponse()
	}
	if stream {
		rw.writeStream(0)
		return
	}
	rw.writeJSON()
}

// awaitEnd waits until s is no longer in progress.
func (e *Engine) awaitEnd(r *http.Request, s *sequence) progress {
	for {
		p := e.progressOf(s, 0)
		if p.state != queued && p.state != running {
			return p
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-e.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be the number of the next token", http.StatusBadRequest)
		return
	}
	s, ok := e.attach(params.ByName("id"))
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	defer e.detach(s)
	rw := &responseWriter{engine: e, w: w, r: r, sequence: s, id: s.id}
	rw.writeStream(offset)
}

func (e *Engine) handleCancel(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	e.mu.Lock()
	s, ok := e.sequences[params.ByName("id")]
	if ok {
		e.cancelLocked(s)
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.signal()
	w.WriteHeader(http.StatusNoContent)
}
