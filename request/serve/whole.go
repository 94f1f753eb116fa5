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
	// heldBytes is the size up to which an answer is held until it is
	// complete, so that a broken one can be tried again unseen.
	heldBytes = 256 << 10
	// partBytes is the size of the parts in which larger answers are passed.
	partBytes = 32 << 10
)

// passWhole passes on an answer that is not an event stream.
func (s *Server) passWhole(ctx context.Context, x *exchangeState) *outcome.Refusal {
	if x.answer.Length > heldBytes {
		return s.passLarge(ctx, x)
	}
	body, err := io.ReadAll(io.LimitReader(x.answer.Body, heldBytes+1))
	if err != nil {
		return readFailure(ctx, err)
	}
	if len(body) > heldBytes {
		return s.passUndeclared(ctx, x, body)
	}
	head := x.job.Method == http.MethodHead
	if x.answer.Length >= 0 && int64(len(body)) != x.answer.Length && !head {
		return outcome.Ran(outcome.AnswerTruncated, "%d of %d bytes came", len(body), x.answer.Length)
	}
	length := int64(len(body))
	if head {
		length = x.answer.Length
	}
	x.result.FirstToken = s.clock.Since(x.sent)
	if err := x.out.begin(x.answer.Status, s.answerHeader(x), length); err != nil {
		return callerGone(err)
	}
	if err := x.out.sink.Write(body); err != nil {
		return callerGone(err)
	}
	return nil
}

// passLarge passes on a large answer of declared length as it comes.
func (s *Server) passLarge(ctx context.Context, x *exchangeState) *outcome.Refusal {
	x.result.FirstToken = s.clock.Since(x.sent)
	if err := x.out.begin(x.answer.Status, s.answerHeader(x), x.answer.Length); err != nil {
		return callerGone(err)
	}
	return s.copyParts(ctx, x)
}

// passUndeclared passes on a large answer whose length was not declared. Its
// end is marked by the framing of HTTP.
func (s *Server) passUndeclared(ctx context.Context, x *exchangeState, start []byte) *outcome.Refusal {
	x.result.FirstToken = s.clock.Since(x.sent)
	if err := x.out.begin(x.answer.Status, s.answerHeader(x), -1); err != nil {
		return callerGone(err)
	}
	if err := x.out.sink.Write(start); err != nil {
		return callerGone(err)
	}
	return s.copyParts(ctx, x)
}

func (s *Server) copyParts(ctx context.Context, x *exchangeState) *outcome.Refusal {
	part := make([]byte, partBytes)
	for {
		n, err := x.answer.Body.Read(part)
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

// readFailure explains an answer that broke off. The endpoint had begun to
// answer, so the request ran.
func readFailure(ctx context.Context, err error) *outcome.Refusal {
	switch {
	case endpoint.ErrIdleTimeout(err):
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

// answerHeader returns the header that the caller gets.
func (s *Server) answerHeader(x *exchangeState) http.Header {
	header := x.answer.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	for _, name := range endpointHeaders {
		header.Del(name)
	}
	if token := s.fleet.PlaceToken(x.job, x.name, x.answer.Incarnation, x.promptTokens()); token != "" {
		header.Set("Stoatmount-Place", token)
	}
	return header
}

// endpointHeaders are between router and endpoint only.
var endpointHeaders = []string{
	protocol.HeaderRequestID, protocol.HeaderBoot, protocol.HeaderNotRun, protocol.HeaderSession,
}

// promptTokens returns the length of the prompt as the endpoint counted it.
func (x *exchangeState) promptTokens() int {
	tokens, err := strconv.Atoi(x.answer.Header.Get(protocol.HeaderPrompt))
	if err != nil {
		return x.job.PromptTokens
	}
	return tokens
}

// placed reports where the chat's prefix is cached after a whole answer.
func (s *Server) placed(x *exchangeState) {
	if x.job.Chat == "" || x.job.Kind.Model == "" || x.answer.Status != http.StatusOK {
		return
	}
	s.fleet.Placed(x.job, x.name, x.answer.Incarnation, x.promptTokens()+x.result.Tokens)
}
