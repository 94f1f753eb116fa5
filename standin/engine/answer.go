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

// answerWriter sends one answer, subject to the faults of answers.
type answerWriter struct {
	engine   *Engine
	w        http.ResponseWriter
	r        *http.Request
	sequence *sequence
	id       string // request number that the answer carries
	crossed  bool   // whether the text is that of another request
}

// cross makes the answer that of another request.
func (a *answerWriter) cross() {
	a.crossed = true
	a.id = "crossed-" + a.id
}

// text returns the token at offset as the answer gives it.
func (a *answerWriter) text(token string) string {
	if a.crossed {
		return "other-" + token
	}
	return token
}

func (a *answerWriter) headers(p *progress) {
	header := a.w.Header()
	header.Set(protocol.HeaderRequestID, a.id)
	header.Set(protocol.HeaderPrompt, strconv.Itoa(p.prompt))
	header.Set(protocol.HeaderCached, strconv.Itoa(p.cached))
	httpserver.SetBoot(a.w, a.engine.Boot())
}

// late waits if answers are late.
func (a *answerWriter) late() {
	if late, ok := a.engine.faults.Trigger(fault.Late); ok {
		a.engine.sleep(a.r, late.Delay)
	}
}

// broken strikes the faults that break an answer off half-way. It reports
// whether the answer ends early but cleanly.
func (a *answerWriter) broken() bool {
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

func (a *answerWriter) flush() {
	_ = http.NewResponseController(a.w).Flush()
}

// whole sends the answer as one JSON object.
func (a *answerWriter) whole() {
	p := a.engine.awaitEnd(a.r, a.sequence)
	if p.state != finished {
		a.end(p.state)
		return
	}
	a.late()
	data, err := json.Marshal(a.response(&p))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.headers(&p)
	a.w.Header().Set("Content-Type", "application/json")
	httpserver.SetLength(a.w, len(data))
	half := len(data) / 2
	_, _ = a.w.Write(data[:half])
	if a.broken() {
		return
	}
	_, _ = a.w.Write(data[half:])
}

// end answers a request that was cancelled or lost.
func (a *answerWriter) end(s state) {
	if s == lost {
		panic(http.ErrAbortHandler)
	}
	http.Error(a.w, "the request was cancelled", http.StatusConflict)
}

func (a *answerWriter) response(p *progress) protocol.ChatResponse {
	var text strings.Builder
	for _, token := range p.tokens {
		text.WriteString(a.text(token))
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

// stream sends the answer as server-sent events from token offset on.
func (a *answerWriter) stream(offset int) {
	breakAt := (offset + len(a.sequence.tokens)) / 2
	started := false
	for {
		p := a.engine.look(a.sequence, offset)
		if !started && (len(p.tokens) > 0 || p.whole) {
			a.startStream(&p)
			started = true
		}
		for _, token := range p.tokens {
			if offset == breakAt && a.broken() {
				return
			}
			a.event(offset, token)
			offset++
		}
		if !a.next(&p, started) {
			return
		}
	}
}

// next waits for the next change of the stream. It reports false after the
// end.
func (a *answerWriter) next(p *progress, started bool) bool {
	switch {
	case p.whole:
		_, _ = fmt.Fprintf(a.w, "data: %s\n\n", protocol.StreamEnd)
		a.flush()
		return false
	case p.state == lost || started && p.state == cancelled:
		panic(http.ErrAbortHandler)
	case p.state == cancelled:
		a.end(p.state)
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

func (a *answerWriter) startStream(p *progress) {
	a.late()
	a.headers(p)
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) event(offset int, token string) {
	chunk := protocol.Chunk{
		ID:     a.id,
		Object: "chat.completion.chunk",
		Model:  a.sequence.model,
		Choices: []protocol.ChunkChoice{{
			Delta: protocol.Message{Role: "assistant", Content: a.text(token)},
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

// sleep waits for d. It aborts the connection if that or the engine ends.
func (e *Engine) sleep(r *http.Request, d time.Duration) {
	select {
	case <-e.clock.After(d):
		return
	case <-r.Context().Done():
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}

// hold keeps the connection open and silent until either end closes it.
func (e *Engine) hold(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}
