package serve

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// maxResumes bounds how often one attempt is resumed at its endpoint.
const maxResumes = 3

// streamed is what of an event stream has gone to the caller, over all
// attempts.
type streamed struct {
	events int
	digest uint64 // of the data of these events, without request numbers
}

// passStream passes on an event stream. A stream that breaks off is resumed at
// the same endpoint if it can.
func (s *Server) passStream(ctx context.Context, x *exchangeState) *outcome.Refusal {
	refusal := s.passEvents(ctx, x, x.answer.Body, x.done.stream.events > 0)
	if refusal == nil {
		x.answer.Drain()
	}
	for resumes := 0; resumes < maxResumes && broken(refusal) && ctx.Err() == nil; resumes++ {
		answer, err := s.client.Resume(ctx, x.request, x.done.stream.events)
		if err != nil {
			return refusal
		}
		refusal = s.passEvents(ctx, x, answer.Body, false)
		_ = answer.Body.Close()
	}
	return refusal
}

func broken(refusal *outcome.Refusal) bool {
	return refusal != nil && (refusal.Code == outcome.AnswerTruncated || refusal.Code == outcome.EndpointSilent)
}

// passEvents passes on events until the mark that ends the stream. With repeat
// the endpoint sends the stream from its start, and what the caller has is
// compared and left out.
func (s *Server) passEvents(ctx context.Context, x *exchangeState, body io.Reader, repeat bool) *outcome.Refusal {
	reader := newEventReader(body)
	if repeat {
		if refusal := skipEvents(ctx, reader, x); refusal != nil {
			return refusal
		}
	}
	for {
		next, err := reader.next()
		if err != nil {
			return readFailure(ctx, err)
		}
		if !x.done.stream.follows(next) {
			return outcome.Ran(outcome.AnswerTruncated, "token %s came in place of %d", next.id, x.done.stream.events)
		}
		if refusal := s.passEvent(x, next); refusal != nil {
			return refusal
		}
		if bytes.Equal(next.data, []byte(protocol.StreamEnd)) {
			return nil
		}
	}
}

// passEvent sends one event to the caller.
func (s *Server) passEvent(x *exchangeState, next event) *outcome.Refusal {
	if !x.out.head {
		x.result.FirstToken = s.clock.Since(x.sent)
		if err := x.out.begin(x.answer.Status, s.answerHeader(x), -1); err != nil {
			return callerGone(err)
		}
	}
	if err := x.out.sink.Write(withoutAttempt(next.raw, x)); err != nil {
		return callerGone(err)
	}
	x.done.stream.add(withoutAttempt(next.data, x))
	x.result.Tokens++
	return nil
}

// follows reports whether next is the event that comes after those that the
// caller has. Events without a number are taken to follow.
func (t *streamed) follows(next event) bool {
	return next.id == nil || string(next.id) == strconv.Itoa(t.events)
}

// add counts an event that the caller has got.
func (t *streamed) add(data []byte) {
	t.events++
	t.digest = chain(t.digest, data)
}

func chain(digest uint64, data []byte) uint64 {
	return digest*31 + xxhash.Sum64(data)
}

// skipEvents reads what the caller already has from a repeated stream. A
// repetition that differs cannot be joined to the first part.
func skipEvents(ctx context.Context, reader *eventReader, x *exchangeState) *outcome.Refusal {
	digest := uint64(0)
	for range x.done.stream.events {
		next, err := reader.next()
		if err != nil {
			return readFailure(ctx, err)
		}
		digest = chain(digest, withoutAttempt(next.data, x))
	}
	if digest != x.done.stream.digest {
		return outcome.Ran(outcome.ResultLost, "the repeated answer differs from the part already sent")
	}
	return nil
}

// withoutAttempt replaces the number of the attempt by that of the request.
func withoutAttempt(data []byte, x *exchangeState) []byte {
	return bytes.ReplaceAll(data, []byte(x.request.ID), []byte(x.job.ID))
}
