package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// bufferedBytes is the size up to which a response is buffered until it is
	// complete, so that a truncated one can be retried without the caller noticing.
	bufferedBytes = 256 << 10
	// partBytes is the size of the parts in which larger responses are passed on.
	partBytes = 32 << 10
)

// passBody passes on a response that is not an event stream.
func (s *Server) passBody(ctx context.Context, x *exchange) *outcome.Refusal {
	if x.response.Length > bufferedBytes {
		return s.passLarge(ctx, x)
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, bufferedBytes+1))
	if err != nil {
		return readFailure(ctx, err)
	}
	if len(body) > bufferedBytes {
		return s.passUndeclared(ctx, x, body)
	}
	isHead := x.job.Method == http.MethodHead
	if x.response.Length >= 0 && int64(len(body)) != x.response.Length && !isHead {
		return outcome.Ran(outcome.AnswerTruncated, "%d of %d bytes came", len(body), x.response.Length)
	}
	length := int64(len(body))
	if isHead {
		length = x.response.Length
	}
	x.result.FirstToken = s.clock.Since(x.sent)
	if err := x.out.begin(x.response.Status, s.responseHeader(x), length); err != nil {
		return callerGone(err)
	}
	if err := x.out.sink.Write(body); err != nil {
		return callerGone(err)
	}
	return nil
}

// passLarge passes on a large response of declared length as it arrives.
func (s *Server) passLarge(ctx context.Context, x *exchange) *outcome.Refusal {
	x.result.FirstToken = s.clock.Since(x.sent)
	if err := x.out.begin(x.response.Status, s.responseHeader(x), x.response.Length); err != nil {
		return callerGone(err)
	}
	return s.copyParts(ctx, x)
}

// passUndeclared passes on a large response without a declared length. The
// caller sees its end by the HTTP framing.
func (s *Server) passUndeclared(ctx context.Context, x *exchange, start []byte) *outcome.Refusal {
	x.result.FirstToken = s.clock.Since(x.sent)
	if err := x.out.begin(x.response.Status, s.responseHeader(x), -1); err != nil {
		return callerGone(err)
	}
	if err := x.out.sink.Write(start); err != nil {
		return callerGone(err)
	}
	return s.copyParts(ctx, x)
}

func (s *Server) copyParts(ctx context.Context, x *exchange) *outcome.Refusal {
	part := make([]byte, partBytes)
	for {
		n, err := x.response.Body.Read(part)
		if n > 0 {
			if err := x.out.sink.Write(part[:n]); err != nil {
				return callerGone(err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return readFailure(ctx, err)
		}
	}
}

// readFailure returns the refusal for a response that was interrupted. The endpoint
// had begun to answer, so the request ran.
func readFailure(ctx context.Context, err error) *outcome.Refusal {
	switch {
	case endpoint.IsIdleTimeout(err):
		return outcome.Ran(outcome.EndpointSilent, "the answer stopped coming")
	case ctx.Err() == context.DeadlineExceeded:
		return outcome.Ran(outcome.DeadlinePassed, "the answer was not complete in time")
	case ctx.Err() != nil:
		return outcome.Ran(outcome.CallerGone, "the caller went away")
	default:
		return outcome.Ran(outcome.AnswerTruncated, "the answer broke off")
	}
}

func callerGone(err error) *outcome.Refusal {
	return outcome.Ran(outcome.CallerGone, "writing to the caller failed: %v", err)
}

// responseHeader returns the header that the caller gets.
func (s *Server) responseHeader(x *exchange) http.Header {
	header := x.response.Header.Clone()
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	for _, name := range endpointHeaders {
		header.Del(name)
	}
	if token := s.deps.PlaceToken(x.job, x.name, x.response.Incarnation, x.promptTokens()); token != "" {
		header.Set("Stoatmount-Place", token)
	}
	return header
}

// endpointHeaders are used between router and endpoint only.
var endpointHeaders = []string{
	protocol.HeaderRequestID, protocol.HeaderBoot, protocol.HeaderNotRun, protocol.HeaderSession,
}

// promptTokens returns the prompt length by the endpoint's count, or else the estimate.
func (x *exchange) promptTokens() int {
	tokens, err := strconv.Atoi(x.response.Header.Get(protocol.HeaderPrompt))
	if err != nil {
		return x.job.PromptTokens
	}
	return tokens
}

// reportPlacement reports where the chat's prefix is cached after a complete response.
func (s *Server) reportPlacement(x *exchange) {
	if x.job.Chat == "" || x.job.Kind.Model == "" || x.response.Status != http.StatusOK {
		return
	}
	s.deps.RecordPlacement(x.job, x.name, x.response.Incarnation, x.promptTokens()+x.result.Tokens)
}
