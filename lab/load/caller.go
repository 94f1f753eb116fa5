package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/engine"
)

// Paths of the callers' interface.
const (
	pathAddresses = "/v1/addresses"
	pathChat      = "/v1/chat/completions"
	pathServices  = "/v1/services/" // followed by the service and a path there
)

// bytesPerToken is the length of text counted as one prompt token.
const bytesPerToken = 4

// caller sends one request, or the requests of one chat.
type caller struct {
	generator *Generator
	kind      *Kind
	number    int
	workspace Workspace
	addresses *addressCache
	rng       *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	// Requests that were sent are completed even if ctx has ended.
	uncancelled := context.WithoutCancel(ctx)
	switch {
	case c.kind.Service != "":
		c.callService(uncancelled)
	case c.kind.Turns == 0:
		c.complete(uncancelled, nil, "", "")
	default:
		c.runChat(ctx, uncancelled)
	}
}

// callService sends one request to a plain service.
func (c *caller) callService(ctx context.Context) {
	q := c.newRequest(0)
	q.path = pathServices + c.kind.Service + c.kind.Path
	if c.kind.Keyed {
		q.key = c.newKey()
	}
	q.body = []byte(`{"user":"` + q.id + `"}`)
	q.expected = q.key + " " + string(q.body)
	q.serve(ctx, c.rng)
}

// newKey returns a UUIDv7 of the current time with random bits from the seed.
func (c *caller) newKey() string {
	var id uuid.UUID
	ms := uint64(c.generator.clock.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	high, low := c.rng.Uint64(), c.rng.Uint64()
	for i := 6; i < 8; i++ {
		id[i] = byte(high >> (8 * (i - 6)))
	}
	for i := range 8 {
		id[8+i] = byte(low >> (8 * i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// runChat sends the turns of a chat with pauses between them. It ends when a turn
// has no correct response or ctx ends.
func (c *caller) runChat(ctx, uncancelled context.Context) {
	chat := fmt.Sprintf("%s-%d", c.kind.Name, c.number)
	cache := &addressCache{generator: c.generator, workspace: c.workspace.Name, chat: chat, kind: c.kind.Name}
	c.addresses = cache
	var history []protocol.Message
	place := ""
	for turn := range c.kind.Turns {
		if turn > 0 && !c.generator.sleep(ctx, c.pause()) {
			return
		}
		if c.rng.Float64() < c.kind.WithoutPlaceTokenShare {
			place = ""
		}
		var record RequestRecord
		history, record = c.complete(uncancelled, history, chat, place)
		if record.Verdict != InTime && record.Verdict != Late {
			return
		}
		history = append(history, protocol.Message{Role: "assistant", Content: record.text})
		place = record.place
	}
}

func (c *caller) pause() time.Duration {
	spread := c.kind.PauseMax - c.kind.PauseMin
	if spread <= 0 {
		return c.kind.PauseMin
	}
	return c.kind.PauseMin + time.Duration(c.rng.Int64N(int64(spread)))
}

// completion is the body of a chat completion.
type completion struct {
	Messages  []protocol.Message `json:"messages"`
	Stream    bool               `json:"stream,omitempty"`
	MaxTokens int                `json:"max_tokens,omitempty"`
	User      string             `json:"user"`
}

// complete sends one chat completion with a new message after history.
func (c *caller) complete(ctx context.Context, history []protocol.Message, chat, place string) ([]protocol.Message, RequestRecord) {
	q := c.newRequest(len(history))
	q.path = pathChat
	q.chat, q.place = chat, place
	q.continued = len(history) > 0
	q.stream = c.rng.Float64() < c.kind.StreamShare
	history = append(history, protocol.Message{Role: "user", Content: c.message(q.id)})
	body, err := json.Marshal(completion{Messages: history, Stream: q.stream, MaxTokens: c.kind.ResponseTokens, User: q.id})
	if err != nil {
		return history, RequestRecord{Verdict: NotRun, AttemptResults: []string{err.Error()}}
	}
	q.body = body
	q.expected = engine.ExpectedResponse(history, c.kind.ResponseTokens)
	return history, q.serve(ctx, c.rng)
}

// message returns a unique message of the kind's length.
func (c *caller) message(id string) string {
	filler := c.kind.PromptTokens*bytesPerToken - len(id)
	return id + strings.Repeat(".", max(filler, 0))
}

func (c *caller) newRequest(messageIndex int) *request {
	return &request{
		generator: c.generator,
		addresses: c.addresses,
		kind:      c.kind,
		workspace: c.workspace,
		id:        fmt.Sprintf("%s-%s-%d-%d", c.workspace.Name, c.kind.Name, c.number, messageIndex),
	}
}
