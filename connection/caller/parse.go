package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// bytesPerToken turns the size of a prompt into an estimate of its tokens.
	bytesPerToken = 4
	// maxNameBytes bounds the names that callers send in headers.
	maxNameBytes = 256
	// maxPlaceBytes bounds a place token.
	maxPlaceBytes = 1024
	// longestDeadline is the largest deadline that is taken for serious.
	longestDeadline = 24 * time.Hour
)

// job reads and checks a request. Every refusal is not run.
func (s *Server) job(w http.ResponseWriter, r *http.Request, id string, received time.Time) (*serve.Job, *outcome.Refusal) {
	snapshot := s.fleet.Snapshot()
	if snapshot == nil || snapshot.Version == 0 {
		return nil, outcome.NotRun(outcome.NoConfig, "no configuration is in force yet")
	}
	if refusal := s.checkHeaderSize(r); refusal != nil {
		return nil, refusal
	}
	workspace, refusal := s.authenticate(r, snapshot)
	if refusal != nil {
		return nil, refusal
	}
	kind := snapshot.Kind(r.Header.Get(HeaderKind))
	if kind == nil {
		return nil, outcome.NotRun(outcome.BadKind, "%s names no kind of request", HeaderKind)
	}
	deadline, refusal := readDeadline(r.Header.Get(HeaderDeadlineMs), kind)
	if refusal != nil {
		return nil, refusal
	}
	chat := r.Header.Get(HeaderChat)
	if len(chat) > maxNameBytes {
		return nil, outcome.NotRun(outcome.BadRequest, "%s is longer than %d bytes", HeaderChat, maxNameBytes)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if refusal := checkKey(key, kind); refusal != nil {
		return nil, refusal
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	job := &serve.Job{
		ID: id, Workspace: workspace.Name, Chat: chat, IdempotencyKey: key, Kind: kind, Snapshot: snapshot,
		Method: r.Method, Header: serve.ForwardHeader(r.Header), Body: body,
		Received: received, Deadline: received.Add(deadline),
		PromptTokens: len(body) / bytesPerToken,
		Fingerprint:  suspect.FingerprintOf(workspace.Name, kind.Name, target(r, kind), body),
	}
	if place := r.Header.Get(HeaderPlace); len(place) <= maxPlaceBytes {
		job.PlaceToken = place
	}
	return job, nil
}

// target names what a plain service is asked to do. Chat completions differ in
// their bodies alone.
func target(r *http.Request, kind *config.Kind) string {
	if kind.Model != "" {
		return ""
	}
	return r.Method + " " + r.URL.RequestURI()
}

// checkHeaderSize counts names and values.
func (s *Server) checkHeaderSize(r *http.Request) *outcome.Refusal {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > s.options.HeaderBytes {
		return outcome.NotRun(outcome.HeadersTooLarge, "headers have %d bytes, the limit is %d", size, s.options.HeaderBytes)
	}
	return nil
}

// readDeadline returns the time the caller gives. A time beyond the kind's
// deadline is shortened to it.
func readDeadline(text string, kind *config.Kind) (time.Duration, *outcome.Refusal) {
	longest := kind.Deadline.Std()
	if text == "" {
		return longest, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > longestDeadline.Milliseconds() {
		return 0, outcome.NotRun(outcome.BadDeadline, "%s must be a whole number from 1 to %d", HeaderDeadlineMs, longestDeadline.Milliseconds())
	}
	return min(time.Duration(ms)*time.Millisecond, longest), nil
}

// checkKey refuses a key that is missing or cannot be remembered.
func checkKey(key string, kind *config.Kind) *outcome.Refusal {
	if !kind.NonIdempotent {
		return nil
	}
	if key == "" && kind.KeyRequired {
		return outcome.NotRun(outcome.KeyRequired, "send a UUIDv7 as %s", HeaderIdempotencyKey)
	}
	if len(key) > maxNameBytes {
		return outcome.NotRun(outcome.BadIdempotencyKey, "%s is longer than %d bytes", HeaderIdempotencyKey, maxNameBytes)
	}
	return nil
}

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, outcome.NotRun(outcome.BodyTooLarge, "the limit is %d bytes", s.options.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, outcome.NotRun(outcome.BodyTooSlow, "the body must arrive within %v", s.options.BodyTimeout)
	default:
		return nil, outcome.NotRun(outcome.BadRequest, "the body ended early")
	}
}

// chatHead holds the fields of a chat completion that the router reads.
type chatHead struct {
	Model    *string           `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// asChat completes a job for a chat completion.
func asChat(job *serve.Job) *outcome.Refusal {
	var head chatHead
	if err := json.Unmarshal(job.Body, &head); err != nil {
		return outcome.NotRun(outcome.BadRequest, "the body is not a chat completion: %v", err)
	}
	if len(head.Messages) == 0 {
		return outcome.NotRun(outcome.BadRequest, "the body has no messages")
	}
	if job.Kind.Model == "" {
		return outcome.NotRun(outcome.BadKind, "kind %q is served by a plain service", job.Kind.Name)
	}
	if head.Model != nil && *head.Model != job.Kind.Model {
		return outcome.NotRun(outcome.BadModel, "kind %q uses model %q", job.Kind.Name, job.Kind.Model)
	}
	job.Stream = head.Stream
	job.Path = protocol.PathChat
	return nil
}

// asService completes a job for a plain service.
func asService(job *serve.Job, params httprouter.Params, target *url.URL) *outcome.Refusal {
	service := params.ByName("service")
	if job.Kind.Service == "" || job.Kind.Service != service {
		return outcome.NotRun(outcome.NotFound, "kind %q is not served by service %q", job.Kind.Name, service)
	}
	job.Path = servicePath(target)
	if target.RawQuery != "" {
		job.Path += "?" + target.RawQuery
	}
	return nil
}

// servicePath returns the path at the service, escaped as the caller sent it.
func servicePath(target *url.URL) string {
	rest := strings.TrimPrefix(target.EscapedPath(), "/v1/services/")
	_, path, _ := strings.Cut(rest, "/")
	return "/" + path
}
