package serve

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// fakeDependencies grants every permit.
type fakeDependencies struct{ released []Result }

func (f *fakeDependencies) Acquire(context.Context, *Job, []string) (Permit, *outcome.Refusal) {
	return &fakePermit{f}, nil
}
func (f *fakeDependencies) TakeRetry(string) bool                       { return true }
func (f *fakeDependencies) Crashed(*Job, string, uint64)                {}
func (f *fakeDependencies) PlaceToken(*Job, string, uint64, int) string { return "" }
func (f *fakeDependencies) RecordPlacement(*Job, string, uint64, int)   {}
func (f *fakeDependencies) Background(work func())                      { work() }

type fakePermit struct{ deps *fakeDependencies }

func (p *fakePermit) Endpoint() *config.Endpoint             { return &config.Endpoint{Name: "e"} }
func (p *fakePermit) MayDispatch(time.Time) *outcome.Refusal { return nil }
func (p *fakePermit) Release(r Result)                       { p.deps.released = append(p.deps.released, r) }

// fakeClient returns responses without the checks of the real client.
type fakeClient struct {
	requestID string // "" for the request's own ID
	body      string
	length    int64
	refusal   *outcome.Refusal
}

func (f *fakeClient) Do(_ context.Context, r *endpoint.Request) (*endpoint.Response, *outcome.Refusal) {
	if f.refusal != nil {
		return nil, f.refusal
	}
	header := http.Header{}
	header.Set(protocol.HeaderRequestID, r.ID)
	if f.requestID != "" {
		header.Set(protocol.HeaderRequestID, f.requestID)
	}
	body := io.NopCloser(strings.NewReader(f.body))
	return &endpoint.Response{Status: http.StatusOK, Header: header, Length: f.length, Body: body}, nil
}

func (f *fakeClient) Resume(context.Context, *endpoint.Request, int) (*endpoint.Response, error) {
	return nil, errors.New("no resume")
}

func (f *fakeClient) Cancel(context.Context, netip.AddrPort, string) error { return nil }

// fakeSink records what the caller would receive.
type fakeSink struct {
	strings.Builder
	length int64
}

func (f *fakeSink) Head(_ int, _ http.Header, length int64) error { f.length = length; return nil }
func (f *fakeSink) Write(part []byte) error                       { f.Builder.Write(part); return nil }

func serveOnce(client *fakeClient, stream bool) (*Server, *fakeSink, *outcome.Refusal) {
	check := invariant.New(logr.Discard())
	clock := clockwork.NewRealClock()
	s := NewServer(&fakeDependencies{}, nil, client, clock, check, logr.Discard())
	sink := &fakeSink{}
	return s, sink, s.Serve(context.Background(), job(clock.Now(), stream), sink)
}

func job(now time.Time, stream bool) *Job {
	return &Job{
		ID: "r", Kind: &config.Kind{Name: "k", Model: "m", NonIdempotent: true, Deadline: config.Duration(time.Minute)},
		Method: http.MethodPost, Stream: stream, Received: now, Deadline: now.Add(time.Minute),
	}
}

func TestResponsesAreCompleteOrTruncationIsReported(t *testing.T) {
	tests := []struct {
		name   string
		client fakeClient
		stream bool
		code   outcome.Code
	}{
		{"whole", fakeClient{body: "abc", length: 3}, false, 0},
		{"short", fakeClient{body: "ab", length: 3}, false, outcome.AnswerTruncated},
		{"stream", fakeClient{body: "id: 0\ndata: a\n\ndata: [DONE]\n\n", length: -1}, true, 0},
		{"stream without end", fakeClient{body: "id: 0\ndata: a\n\n", length: -1}, true, outcome.AnswerTruncated},
		{"stream with a gap", fakeClient{body: "id: 0\ndata: a\n\nid: 2\ndata: c\n\ndata: [DONE]\n\n", length: -1}, true, outcome.AnswerTruncated},
		{"stream with a repeat", fakeClient{body: "id: 0\ndata: a\n\nid: 0\ndata: a\n\ndata: [DONE]\n\n", length: -1}, true, outcome.AnswerTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, sink, refusal := serveOnce(&test.client, test.stream)
			c.Check(s.check.Total(), qt.Equals, int64(0))
			if test.code == 0 {
				c.Assert(refusal == nil, qt.IsTrue)
				c.Check(sink.String(), qt.Equals, test.client.body)
				return
			}
			c.Assert(refusal != nil, qt.IsTrue)
			c.Check(refusal.Code, qt.Equals, test.code)
			c.Check(refusal.Run, qt.Equals, outcome.RunDone)
		})
	}
}

func TestInvariantDetectsMismatchedResponse(t *testing.T) {
	c := qt.New(t)
	s, _, _ := serveOnce(&fakeClient{requestID: "other.1", body: "abc", length: 3}, false)
	c.Check(s.check.Count(invariant.ResponseMatchesRequest), qt.Equals, int64(1))
}

func TestInvariantDetectsFalseNotRun(t *testing.T) {
	c := qt.New(t)
	check := invariant.New(logr.Discard())
	clock := clockwork.NewRealClock()
	client := &fakeClient{refusal: outcome.Unknown(outcome.EndpointFailed, "lost")}
	s := NewServer(&fakeDependencies{}, nil, client, clock, check, logr.Discard())
	refusal := s.Serve(context.Background(), job(clock.Now(), false), &fakeSink{})
	c.Check(refusal.Run, qt.Equals, outcome.RunUnknown)
	c.Check(check.Total(), qt.Equals, int64(0))
	s.combine = func(outcome.Run, outcome.Run) outcome.Run { return outcome.RunNot } // the wrong outcome
	refusal = s.Serve(context.Background(), job(clock.Now(), false), &fakeSink{})
	c.Check(refusal.Run, qt.Equals, outcome.RunNot)
	c.Check(check.Count(invariant.NotRunMeansNotDispatched), qt.Equals, int64(1))
}

func TestAuditSinkDetectsIncompleteResponses(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		name   string
		stream bool
		pass   func(*auditSink)
		whole  bool
	}{
		{"nothing", false, func(*auditSink) {}, false},
		{"whole", false, func(a *auditSink) { _ = a.Head(200, nil, 3); _ = a.Write([]byte("abc")) }, true},
		{"short", false, func(a *auditSink) { _ = a.Head(200, nil, 3); _ = a.Write([]byte("ab")) }, false},
		{"stream", true, func(a *auditSink) {
			_ = a.Head(200, nil, -1)
			_ = a.Write([]byte("data: x\n\ndata: [DO"))
			_ = a.Write([]byte("NE]\n\n"))
		}, true},
		{"stream without end", true, func(a *auditSink) { _ = a.Head(200, nil, -1); _ = a.Write([]byte("data: x\n\n")) }, false},
	}
	for _, test := range tests {
		a := &auditSink{inner: &fakeSink{}}
		test.pass(a)
		c.Check(a.complete(job(time.Time{}, test.stream)), qt.Equals, test.whole, qt.Commentf("%s", test.name))
	}
}
