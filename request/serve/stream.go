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

// streamProgress is how much of an event stream the caller has received, over all attempts.
type streamProgress struct {
	events int
	digest uint64 // of the data of these events, with attempt IDs replaced
}

// passStream passes on an event stream. An interrupted stream is resumed at the
// same endpoint if possible.
func (s *Server) passStream(ctx context.Context, x *exchange) *outcome.Refusal {
	refusal := s.passEvents(ctx, x, x.response.Body, x.state.stream.events > 0)
	if refusal == nil {
		x.response.Drain()
	}
	for resumes := 0; resumes < maxResumes && resumable(refusal) && ctx.Err() == nil; resumes++ {
		response, err := s.client.Resume(ctx, x.request, x.state.stream.events)
		if err != nil {
			return refusal
		}
		refusal = s.passEvents(ctx, x, response.Body, false)
		_ = response.Body.Close()
	}
	return refusal
}

func resumable(refusal *outcome.Refusal) bool {
	return refusal != nil && (refusal.Code == outcome.AnswerTruncated || refusal.Code == outcome.EndpointSilent)
}

// passEvents passes on events up to the one that ends the stream. If repeat is
// set, the endpoint sends the stream from its start; the events that the caller
// already has are compared and skipped.
func (s *Server) passEvents(ctx context.Context, x *exchange, body io.Reader, repeat bool) *outcome.Refusal {
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
		if !x.state.stream.follows(next) {
			return outcome.Ran(outcome.AnswerTruncated, "token %s came in place of %d", next.id, x.state.stream.events)
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
func (s *Server) passEvent(x *exchange, next event) *outcome.Refusal {
	if !x.out.headSent {
		x.result.FirstToken = s.clock.Since(x.sent)
		if err := x.out.begin(x.response.Status, s.responseHeader(x), -1); err != nil {
			return callerGone(err)
		}
	}
	if err := x.out.sink.Write(withoutAttempt(next.raw, x)); err != nil {
		return callerGone(err)
	}
	x.state.stream.add(withoutAttempt(next.data, x))
	x.result.Tokens++
	return nil
}

// follows reports whether next is the event after those that the caller has.
// Events without an ID are accepted.
func (t *streamProgress) follows(next event) bool {
	return next.id == nil || string(next.id) == strconv.Itoa(t.events)
}

// add counts an event that the caller has received.
func (t *streamProgress) add(data []byte) {
	t.events++
	t.digest = chainDigest(t.digest, data)
}

// chainDigest adds data to a digest that depends on the order of the events.
func chainDigest(digest uint64, data []byte) uint64 {
	return digest*31 + xxhash.Sum64(data)
}

// skipEvents reads the events that the caller already has from a repeated stream.
// If they differ, the stream cannot be joined to the first part.
func skipEvents(ctx context.Context, reader *eventReader, x *exchange) *outcome.Refusal {
	digest := uint64(0)
	for range x.state.stream.events {
		next, err := reader.next()
		if err != nil {
			return readFailure(ctx, err)
		}
		digest = chainDigest(digest, withoutAttempt(next.data, x))
	}
	if digest != x.state.stream.digest {
		return outcome.Ran(outcome.ResultLost, "the repeated answer differs from the part already sent")
	}
	return nil
}

// withoutAttempt replaces the ID of the attempt by that of the request.
func withoutAttempt(data []byte, x *exchange) []byte {
	return bytes.ReplaceAll(data, []byte(x.request.ID), []byte(x.job.ID))
}
