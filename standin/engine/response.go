package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// responseWriter sends one response and triggers the faults of responses.
type responseWriter struct {
	engine   *Engine
	w        http.ResponseWriter
	r        *http.Request
	sequence *sequence
	id       string // request id in the response
	crossed  bool   // whether the text belongs to another request
}

// crossResponses makes the response that of another request.
func (a *responseWriter) crossResponses() {
	a.crossed = true
	a.id = "crossed-" + a.id
}

// tokenText returns token as the response contains it.
func (a *responseWriter) tokenText(token string) string {
	if a.crossed {
		return "other-" + token
	}
	return token
}

func (a *responseWriter) headers(p *progress) {
	header := a.w.Header()
	header.Set(protocol.HeaderRequestID, a.id)
	header.Set(protocol.HeaderPrompt, strconv.Itoa(p.prompt))
	header.Set(protocol.HeaderCached, strconv.Itoa(p.cached))
	httpserver.SetIncarnation(a.w, a.engine.Incarnation())
}

// delayIfLate waits if fault.Late triggers.
func (a *responseWriter) delayIfLate() {
	if late, ok := a.engine.faults.Trigger(fault.Late); ok {
		a.engine.sleep(a.r, late.Delay)
	}
}

// triggerBodyFaults triggers the faults in the middle of a response. It reports
// whether the response ends early without an error.
func (a *responseWriter) triggerBodyFaults() bool {
	faults := a.engine.faults
	if _, ok := faults.Trigger(fault.Silence); ok {
		a.flush()
		a.engine.hold(a.r)
	}
	if _, ok := faults.Trigger(fault.Crash); ok {
		a.engine.Crash("fault")
		panic(http.ErrAbortHandler)
	}
	if _, ok := faults.Trigger(fault.Cut); ok {
		a.flush()
		panic(http.ErrAbortHandler)
	}
	_, truncated := faults.Trigger(fault.Truncate)
	return truncated
}

func (a *responseWriter) flush() {
	_ = http.NewResponseController(a.w).Flush()
}

// writeJSON sends the response as one JSON object.
func (a *responseWriter) writeJSON() {
	p := a.engine.awaitEnd(a.r, a.sequence)
	if p.state != finished {
		a.writeAborted(p.state)
		return
	}
	a.delayIfLate()
	data, err := json.Marshal(a.response(&p))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.headers(&p)
	a.w.Header().Set("Content-Type", "application/json")
	httpserver.SetContentLength(a.w, len(data))
	half := len(data) / 2
	_, _ = a.w.Write(data[:half])
	if a.triggerBodyFaults() {
		return
	}
	_, _ = a.w.Write(data[half:])
}

// writeAborted responds to a request that was cancelled or lost.
func (a *responseWriter) writeAborted(s state) {
	if s == lost {
		panic(http.ErrAbortHandler)
	}
	http.Error(a.w, "the request was cancelled", http.StatusConflict)
}

func (a *responseWriter) response(p *progress) protocol.ChatResponse {
	var text strings.Builder
	for _, token := range p.tokens {
		text.WriteString(a.tokenText(token))
	}
	return protocol.ChatResponse{
		ID:     a.id,
		Object: "chat.completion",
		Model:  a.sequence.model,
		Choices: []protocol.Choice{{
			Message:      protocol.Message{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
		Usage: protocol.Usage{
			PromptTokens:     p.prompt,
			CompletionTokens: len(p.tokens),
			CachedTokens:     p.cached,
		},
	}
}

// writeStream sends the response as server-sent events, starting at token offset.
func (a *responseWriter) writeStream(offset int) {
	breakAt := (offset + len(a.sequence.tokens)) / 2
	started := false
	for {
		p := a.engine.progressOf(a.sequence, offset)
		if !started && (len(p.tokens) > 0 || p.complete) {
			a.startStream(&p)
			started = true
		}
		for _, token := range p.tokens {
			if offset == breakAt && a.triggerBodyFaults() {
				return
			}
			a.writeEvent(offset, token)
			offset++
		}
		if !a.awaitProgress(&p, started) {
			return
		}
	}
}

// awaitProgress waits for the next change of the stream. It returns false after
// the end.
func (a *responseWriter) awaitProgress(p *progress, started bool) bool {
	switch {
	case p.complete:
		_, _ = fmt.Fprintf(a.w, "data: %s\n\n", protocol.StreamEnd)
		a.flush()
		return false
	case p.state == lost || started && p.state == cancelled:
		panic(http.ErrAbortHandler)
	case p.state == cancelled:
		a.writeAborted(p.state)
		return false
	}
	if len(p.tokens) > 0 {
		a.flush()
	}
	select {
	case <-p.changed:
		return true
	case <-a.r.Context().Done():
	case <-a.engine.closed:
	}
	panic(http.ErrAbortHandler)
}

func (a *responseWriter) startStream(p *progress) {
	a.delayIfLate()
	a.headers(p)
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *responseWriter) writeEvent(offset int, token string) {
	chunk := protocol.Chunk{
		ID:     a.id,
		Object: "chat.completion.chunk",
		Model:  a.sequence.model,
		Choices: []protocol.ChunkChoice{{
			Delta: protocol.Message{Role: "assistant", Content: a.tokenText(token)},
		}},
	}
	if offset == len(a.sequence.tokens)-1 {
		stop := "stop"
		chunk.Choices[0].FinishReason = &stop
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(a.w, "id: %d\ndata: %s\n\n", offset, data)
}

// sleep waits for d. It aborts the connection if the connection or the engine
// ends first.
func (e *Engine) sleep(r *http.Request, d time.Duration) {
	select {
	case <-e.clock.After(d):
		return
	case <-r.Context().Done():
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}

// hold keeps the connection open without sending until either end closes it.
func (e *Engine) hold(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}
