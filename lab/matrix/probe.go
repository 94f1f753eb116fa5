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
	// answerTokens is the length of a chat's answer.
	answerTokens = 40
	// callerPatience is the time after which a caller gives up on an answer.
	callerPatience = 8 * time.Second
)

// Got is what a caller got for one request that it sent once.
type Got struct {
	Name string // what the caller calls its request
	Text string // for the table
	Run  outcome.Run
	// Answered says that the answer was whole and right.
	Answered bool
	// Wrong says that an answer ended cleanly, but was not the right one.
	Wrong bool
}

// probe sends requests as a caller does.
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

// refusal is the body of a refusal.
type refusal struct {
	Code outcome.Code `json:"code"`
	Name string       `json:"name"`
	Run  outcome.Run  `json:"run"`
}

// post sends a request once. The body cannot be sent again by the transport.
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

// failed describes a request without an answer or with a refusal.
func failed(name string, resp *http.Response, err error) Got {
	if err != nil {
		if strings.Contains(err.Error(), "connect: ") {
			return Got{Name: name, Text: "no connection", Run: outcome.RunNot}
		}
		return Got{Name: name, Text: "connection lost", Run: outcome.RunUnknown}
	}
	var r refusal
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return Got{Name: name, Text: fmt.Sprintf("status %d", resp.StatusCode), Run: outcome.RunUnknown}
	}
	return Got{Name: name, Text: fmt.Sprintf("%d %s, %s", int(r.Code), r.Name, r.Run), Run: r.Run}
}

// chat sends one turn of a chat as a stream and calls during after some tokens.
func (p *probe) chat(ctx context.Context, entry, chat string, history []protocol.Message, during func()) (Got, []protocol.Message) {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	name := p.name()
	history = append(history, protocol.Message{Role: "user", Content: name + strings.Repeat(".", 200)})
	body, err := json.Marshal(chatBody{Messages: history, Stream: true, MaxTokens: answerTokens, User: name})
	if err != nil {
		return Got{Name: name, Text: err.Error()}, history
	}
	resp, err := p.post(ctx, "http://"+entry+"/v1/chat/completions", chatKind, chat, "", body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return failed(name, resp, err), history
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := readTokens(resp.Body, during)
	expected := engine.ExpectedAnswer(history, answerTokens)
	got := Got{Name: name, Run: outcome.RunDone}
	switch {
	case err == nil && text == expected:
		got.Answered, got.Text = true, "whole answer"
	case err == nil || errors.Is(err, errNoEnd):
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

// errNoEnd means that a stream ended cleanly without its end mark.
var errNoEnd = errors.New("no end mark")

// tokensBefore is the number of tokens after which during is called.
const tokensBefore = 5

func readTokens(body io.Reader, during func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewReader(body)
	for tokens := 0; ; {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return text.String(), errNoEnd
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
			return text.String(), errors.Errorf("chunk %q", data)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		tokens++
		if tokens == tokensBefore && during != nil {
			during()
		}
	}
}

// booking is a non-idempotent request, which may be sent more than once.
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

// book sends a booking once.
func (p *probe) book(ctx context.Context, entry string, b booking) Got {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	resp, err := p.post(ctx, "http://"+entry+"/v1/services/"+serviceName+"/bookings", bookingKind, "", b.key, b.body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return failed(b.name, resp, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Got{Name: b.name, Text: "answer broken off visibly", Run: outcome.RunUnknown}
	}
	var answer struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(data, &answer); err != nil || answer.Key != b.key || answer.Body != string(b.body) {
		return Got{Name: b.name, Text: "WRONG ANSWER", Run: outcome.RunDone, Wrong: true}
	}
	got := Got{Name: b.name, Text: "whole answer", Run: outcome.RunDone, Answered: true}
	if resp.Header.Get("Stoatmount-Repeated") == "true" {
		got.Text = "stored answer"
	}
	return got
}
