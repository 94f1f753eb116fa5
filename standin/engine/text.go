package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
)

// DefaultMaxTokens is the length of a response if the request does not set one.
const DefaultMaxTokens = 16

// CrashMarker in a message's content crashes the engine that computes it.
const CrashMarker = "[[crash-endpoint]]"

// bytesPerToken is the length of text counted as one prompt token.
const bytesPerToken = 4

// ExpectedResponse returns the text of the response to messages.
func ExpectedResponse(messages []protocol.Message, maxTokens int) string {
	return strings.Join(responseTokens(messages, maxTokens), "")
}

// responseTokens returns the tokens of the response to messages.
func responseTokens(messages []protocol.Message, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	digest := xxhash.New()
	for i := range messages {
		_, _ = fmt.Fprintf(digest, "%q %q;", messages[i].Role, messages[i].Content)
	}
	state := digest.Sum64()
	tokens := make([]string, maxTokens)
	for i := range tokens {
		state = state*6364136223846793005 + 1442695040888963407 // linear congruential generator with the constants of MMIX
		tokens[i] = fmt.Sprintf("%06x ", state>>40)
	}
	return tokens
}

// PromptTokens returns the number of prompt tokens of messages.
func PromptTokens(messages []protocol.Message) int {
	total := 0
	for i := range messages {
		total += messageTokens(len(messages[i].Content))
	}
	return total
}

func messageTokens(bytes int) int {
	return 1 + (bytes+bytesPerToken-1)/bytesPerToken
}

// hasCrashMarker reports whether messages crash the engine.
func hasCrashMarker(messages []protocol.Message) bool {
	for i := range messages {
		if strings.Contains(messages[i].Content, CrashMarker) {
			return true
		}
	}
	return false
}
