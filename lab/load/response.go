package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

// errNoEndMarker means that a response ended cleanly without its end marker.
var errNoEndMarker = errors.New("the stream ended without its end marker")

// readStream returns the text of a stream of server-sent events. It calls first
// at the first token. An error means that the response is incomplete.
func readStream(body io.Reader, first func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewReader(io.LimitReader(body, maxResponseBytes))
	for tokens := 0; ; {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return text.String(), errNoEndMarker
		}
		if err != nil {
			return text.String(), errors.Wrap(err, "stream")
		}
		data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data:")
		if !ok {
			continue
		}
		data = strings.TrimPrefix(data, " ")
		if data == protocol.StreamEnd {
			return text.String(), nil
		}
		token, err := parseChunk(data)
		if err != nil {
			return text.String(), err
		}
		if tokens == 0 {
			first()
		}
		tokens++
		text.WriteString(token)
	}
}

func parseChunk(data string) (string, error) {
	var chunk protocol.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", errors.Wrap(err, "chunk")
	}
	if len(chunk.Choices) != 1 {
		return "", errors.Errorf("chunk has %d choices", len(chunk.Choices))
	}
	return chunk.Choices[0].Delta.Content, nil
}

// readJSON returns the text of a response without streaming.
func readJSON(body io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return "", errors.Wrap(err, "answer")
	}
	var response protocol.ChatResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return "", errors.Wrap(err, "answer")
	}
	if len(response.Choices) != 1 {
		return "", errors.Errorf("response has %d choices", len(response.Choices))
	}
	return response.Choices[0].Message.Content, nil
}

// refusal is the body with which the fleet refuses a request.
type refusal struct {
	Code         outcome.Code `json:"code"`
	Name         string       `json:"name"`
	Run          outcome.Run  `json:"run"`
	RetryAfterMs int64        `json:"retry_after_ms"`
	Address      string       `json:"address"`
}

// readRefusal reads a refusal. An unreadable body does not show whether the request ran.
func readRefusal(body io.Reader) (refusal, error) {
	var r refusal
	err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&r)
	if err != nil {
		return refusal{}, errors.Wrap(err, "refusal")
	}
	return r, nil
}
