package speed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
)

// timing holds the token latencies of one stream.
type timing struct {
	first      time.Duration
	interToken []time.Duration
}

// body returns a streamed chat completion with the given number of tokens.
func body(tokens int) []byte {
	data, err := json.Marshal(protocol.ChatRequest{
		Model: "m", Stream: true, MaxTokens: tokens,
		Messages: []protocol.Message{{Role: "user", Content: "measure"}},
	})
	if err != nil {
		panic(err) // the type has no value that cannot be encoded
	}
	return data
}

// open sends a request and returns the response after its headers.
func (b *bench) open(ctx context.Context, t target, data []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(data))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for name, values := range t.header {
		request.Header[name] = values
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		_ = response.Body.Close()
		return nil, errors.Errorf("status %d: %s", response.StatusCode, text)
	}
	return response, nil
}

// stream sends a request and measures its token latencies.
func (b *bench) stream(ctx context.Context, t target, data []byte) (timing, error) {
	sent := time.Now()
	response, err := b.open(ctx, t, data)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var result timing
	last := sent
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		now := time.Now()
		if bytes.Equal(bytes.TrimSpace(text), []byte(protocol.StreamEnd)) {
			return result, nil
		}
		if result.first == 0 {
			result.first = now.Sub(sent)
		} else {
			result.interToken = append(result.interToken, now.Sub(last))
		}
		last = now
	}
	return timing{}, errors.New("the stream ended without its end marker")
}
