package matrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/engine"
)

const (
	// responseTokens is the length of the response to a chat turn.
	responseTokens = 40
	// callerTimeout is the time after which a caller abandons a request.
	callerTimeout = 8 * time.Second
)

// CallerResult is the result of one attempt of a caller's request.
type CallerResult struct {
	Name string // the caller's name of the request
	Text string // for the table
	Run  outcome.Run
	// Correct is set if the response was complete and correct.
	Correct bool
	// Wrong is set if a response ended cleanly, but was not the correct one.
	Wrong bool
}

// probe sends requests as callers do.
type probe struct {
	client *http.Client
	serial int
	prefix string
}

func newProbe(prefix string) *probe {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	return &probe{client: &http.Client{Transport: transport}, prefix: prefix}
}

func (p *probe) name() string {
	p.serial++
	return fmt.Sprintf("%s-%d", p.prefix, p.serial)
}

// refusal is the response body of a refusal.
type refusal struct {
	Code outcome.Code `json:"code"`
	Name string       `json:"name"`
	Run  outcome.Run  `json:"run"`
}

// post sends a request once. The transport cannot retry it, as it cannot rewind the body.
func (p *probe) post(ctx context.Context, url, kind, chat, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Stoatmount-Workspace", workspace)
	req.Header.Set("Stoatmount-Kind", kind)
	if chat != "" {
		req.Header.Set("Stoatmount-Chat", chat)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return p.client.Do(req)
}

// describeFailure returns the result of a request without a response or with a refusal.
func describeFailure(name string, resp *http.Response, err error) CallerResult {
	if err != nil {
		if strings.Contains(err.Error(), "connect: ") {
			return CallerResult{Name: name, Text: "no connection", Run: outcome.RunNot}
		}
		return CallerResult{Name: name, Text: "connection lost", Run: outcome.RunUnknown}
	}
	var r refusal
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return CallerResult{Name: name, Text: fmt.Sprintf("status %d", resp.StatusCode), Run: outcome.RunUnknown}
	}
	return CallerResult{Name: name, Text: fmt.Sprintf("%d %s, %s", int(r.Code), r.Name, r.Run), Run: r.Run}
}

// chat sends one turn of a chat as a stream and calls injectFault after
// tokensBeforeFault tokens.
func (p *probe) chat(ctx context.Context, entry, chat string, history []protocol.Message, injectFault func()) (CallerResult, []protocol.Message) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	name := p.name()
	history = append(history, protocol.Message{Role: "user", Content: name + strings.Repeat(".", 200)})
	body, err := json.Marshal(chatBody{Messages: history, Stream: true, MaxTokens: responseTokens, User: name})
	if err != nil {
		return CallerResult{Name: name, Text: err.Error()}, history
	}
	resp, err := p.post(ctx, "http://"+entry+"/v1/chat/completions", chatKind, chat, "", body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return describeFailure(name, resp, err), history
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := readTokens(resp.Body, injectFault)
	expected := engine.ExpectedResponse(history, responseTokens)
	got := CallerResult{Name: name, Run: outcome.RunDone}
	switch {
	case err == nil && text == expected:
		got.Correct, got.Text = true, "whole answer"
	case err == nil || errors.Is(err, errNoEndMarker):
		got.Wrong, got.Text = true, "WRONG ANSWER"
	default:
		got.Run, got.Text = outcome.RunUnknown, "answer broken off visibly"
	}
	return got, append(history, protocol.Message{Role: "assistant", Content: text})
}

// chatBody is the body of a chat completion, with the caller's name for it.
type chatBody struct {
	Messages  []protocol.Message `json:"messages"`
	Stream    bool               `json:"stream"`
	MaxTokens int                `json:"max_tokens"`
	User      string             `json:"user"`
}

// errNoEndMarker means that a stream ended cleanly without its end marker.
var errNoEndMarker = errors.New("no end mark")

// tokensBeforeFault is the number of tokens after which injectFault is called.
const tokensBeforeFault = 5

func readTokens(body io.Reader, injectFault func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewReader(body)
	for tokens := 0; ; {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return text.String(), errNoEndMarker
		}
		if err != nil {
			return text.String(), errors.WithStack(err)
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == protocol.StreamEnd {
			return text.String(), nil
		}
		var chunk protocol.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return text.String(), errors.Errorf("invalid chunk %q", data)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		tokens++
		if tokens == tokensBeforeFault && injectFault != nil {
			injectFault()
		}
	}
}

// booking is a non-idempotent request, which may have several attempts.
type booking struct {
	name, key string
	body      []byte
}

func (p *probe) newBooking() (booking, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return booking{}, errors.WithStack(err)
	}
	name := p.name()
	return booking{name: name, key: id.String(), body: []byte(`{"user":"` + name + `"}`)}, nil
}

// sendBooking sends a booking once.
func (p *probe) sendBooking(ctx context.Context, entry string, b booking) CallerResult {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	resp, err := p.post(ctx, "http://"+entry+"/v1/services/"+serviceName+"/bookings", bookingKind, "", b.key, b.body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return describeFailure(b.name, resp, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return CallerResult{Name: b.name, Text: "answer broken off visibly", Run: outcome.RunUnknown}
	}
	var answer struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(data, &answer); err != nil || answer.Key != b.key || answer.Body != string(b.body) {
		return CallerResult{Name: b.name, Text: "WRONG ANSWER", Run: outcome.RunDone, Wrong: true}
	}
	got := CallerResult{Name: b.name, Text: "whole answer", Run: outcome.RunDone, Correct: true}
	if resp.Header.Get("Stoatmount-Repeated") == "true" {
		got.Text = "stored answer"
	}
	return got
}
