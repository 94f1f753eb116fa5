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

// useOtherResponse makes the response look like that of another request.
func (rw *responseWriter) useOtherResponse() {
	rw.crossed = true
	rw.id = "crossed-" + rw.id
}

// tokenText returns token as the response contains it.
func (rw *responseWriter) tokenText(token string) string {
	if rw.crossed {
		return "other-" + token
	}
	return token
}

func (rw *responseWriter) headers(p *progress) {
	header := rw.w.Header()
	header.Set(protocol.HeaderRequestID, rw.id)
	header.Set(protocol.HeaderPrompt, strconv.Itoa(p.prompt))
	header.Set(protocol.HeaderCached, strconv.Itoa(p.cached))
	httpserver.SetIncarnation(rw.w, rw.engine.Incarnation())
}

// delayIfLate waits if fault.Late triggers.
func (rw *responseWriter) delayIfLate() {
	if late, ok := rw.engine.faults.Trigger(fault.Late); ok {
		rw.engine.sleep(rw.r, late.Delay)
	}
}

// triggerBodyFaults triggers the faults in the middle of a response. It reports
// whether the rest of the response is to be left out.
func (rw *responseWriter) triggerBodyFaults() bool {
	faults := rw.engine.faults
	if _, ok := faults.Trigger(fault.Silence); ok {
		rw.flush()
		rw.engine.hold(rw.r)
	}
	if _, ok := faults.Trigger(fault.Crash); ok {
		rw.engine.Crash("fault")
		panic(http.ErrAbortHandler)
	}
	if _, ok := faults.Trigger(fault.Cut); ok {
		rw.flush()
		panic(http.ErrAbortHandler)
	}
	_, truncated := faults.Trigger(fault.Truncate)
	return truncated
}

func (rw *responseWriter) flush() {
	_ = http.NewResponseController(rw.w).Flush()
}

// writeJSON sends the response as one JSON object.
func (rw *responseWriter) writeJSON() {
	p := rw.engine.awaitEnd(rw.r, rw.sequence)
	if p.state != finished {
		rw.writeAborted(p.state)
		return
	}
	rw.delayIfLate()
	data, err := json.Marshal(rw.response(&p))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rw.headers(&p)
	rw.w.Header().Set("Content-Type", "application/json")
	httpserver.SetContentLength(rw.w, len(data))
	half := len(data) / 2
	_, _ = rw.w.Write(data[:half])
	if rw.triggerBodyFaults() {
		return
	}
	_, _ = rw.w.Write(data[half:])
}

// writeAborted responds to a request that was cancelled or lost.
func (rw *responseWriter) writeAborted(s state) {
	if s == lost {
		panic(http.ErrAbortHandler)
	}
	http.Error(rw.w, "the request was cancelled", http.StatusConflict)
}

func (rw *responseWriter) response(p *progress) protocol.ChatResponse {
	var text strings.Builder
	for _, token := range p.tokens {
		text.WriteString(rw.tokenText(token))
	}
	return protocol.ChatResponse{
		ID:     rw.id,
		Object: "chat.completion",
		Model:  rw.sequence.model,
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
func (rw *responseWriter) writeStream(offset int) {
	breakAt := (offset + len(rw.sequence.tokens)) / 2
	started := false
	for {
		p := rw.engine.progressOf(rw.sequence, offset)
		if !started && (len(p.tokens) > 0 || p.complete) {
			rw.startStream(&p)
			started = true
		}
		for _, token := range p.tokens {
			if offset == breakAt && rw.triggerBodyFaults() {
				return
			}
			rw.writeEvent(offset, token)
			offset++
		}
		if !rw.awaitProgress(&p, started) {
			return
		}
	}
}

// awaitProgress waits for the next change of the stream. It returns false after the end.
func (rw *responseWriter) awaitProgress(p *progress, started bool) bool {
	switch {
	case p.complete:
		_, _ = fmt.Fprintf(rw.w, "data: %s\n\n", protocol.StreamEnd)
		rw.flush()
		return false
	case p.state == lost || started && p.state == cancelled:
		panic(http.ErrAbortHandler)
	case p.state == cancelled:
		rw.writeAborted(p.state)
		return false
	}
	if len(p.tokens) > 0 {
		rw.flush()
	}
	select {
	case <-p.changed:
		return true
	case <-rw.r.Context().Done():
	case <-rw.engine.closed:
	}
	panic(http.ErrAbortHandler)
}

func (rw *responseWriter) startStream(p *progress) {
	rw.delayIfLate()
	rw.headers(p)
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.Header().Set("Cache-Control", "no-store")
	rw.w.WriteHeader(http.StatusOK)
}

func (rw *responseWriter) writeEvent(offset int, token string) {
	chunk := protocol.Chunk{
		ID:     rw.id,
		Object: "chat.completion.chunk",
		Model:  rw.sequence.model,
		Choices: []protocol.ChunkChoice{{
			Delta: protocol.Message{Role: "assistant", Content: rw.tokenText(token)},
		}},
	}
	if offset == len(rw.sequence.tokens)-1 {
		stop := "stop"
		chunk.Choices[0].FinishReason = &stop
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(rw.w, "id: %d\ndata: %s\n\n", offset, data)
}

// sleep waits for d. It aborts the connection if the connection or the engine ends first.
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
