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
	// bytesPerToken is used to estimate the tokens of a prompt from its size.
	bytesPerToken = 4
	// maxNameBytes bounds the names that callers send in headers.
	maxNameBytes = 256
	// maxPlaceBytes bounds a place token; a longer one is ignored.
	maxPlaceBytes = 1024
	// maxDeadline is the largest deadline that is accepted.
	maxDeadline = 24 * time.Hour
)

// parseJob reads and checks a request. Its refusals say that the request has not run.
func (s *Server) parseJob(w http.ResponseWriter, r *http.Request, id string, received time.Time) (*serve.Job, *outcome.Refusal) {
	snapshot := s.router.Snapshot()
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
		Fingerprint:  suspect.FingerprintOf(workspace.Name, kind.Name, fingerprintTarget(r, kind), body),
	}
	if place := r.Header.Get(HeaderPlace); len(place) <= maxPlaceBytes {
		job.PlaceToken = place
	}
	return job, nil
}

// fingerprintTarget returns what a fingerprint covers besides the body: the method
// and URI for a plain service, nothing for a chat completion.
func fingerprintTarget(r *http.Request, kind *config.Kind) string {
	if kind.Model != "" {
		return ""
	}
	return r.Method + " " + r.URL.RequestURI()
}

// checkHeaderSize bounds the size of the URI and of all header names and values together.
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

// readDeadline returns the caller's deadline, capped at the deadline of the kind.
func readDeadline(text string, kind *config.Kind) (time.Duration, *outcome.Refusal) {
	limit := kind.Deadline.Std()
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, outcome.NotRun(outcome.BadDeadline, "%s must be a whole number from 1 to %d", HeaderDeadlineMs, maxDeadline.Milliseconds())
	}
	return min(time.Duration(ms)*time.Millisecond, limit), nil
}

// checkKey refuses an idempotency key that is missing or too long to store.
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

// chatFields holds the fields of a chat completion that the router reads.
type chatFields struct {
	Model    *string           `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// prepareChat checks the body of a chat completion and sets the job's Stream and Path.
func prepareChat(job *serve.Job) *outcome.Refusal {
	var fields chatFields
	if err := json.Unmarshal(job.Body, &fields); err != nil {
		return outcome.NotRun(outcome.BadRequest, "the body is not a chat completion: %v", err)
	}
	if len(fields.Messages) == 0 {
		return outcome.NotRun(outcome.BadRequest, "the body has no messages")
	}
	if job.Kind.Model == "" {
		return outcome.NotRun(outcome.BadKind, "kind %q is served by a plain service", job.Kind.Name)
	}
	if fields.Model != nil && *fields.Model != job.Kind.Model {
		return outcome.NotRun(outcome.BadModel, "kind %q uses model %q", job.Kind.Name, job.Kind.Model)
	}
	job.Stream = fields.Stream
	job.Path = protocol.PathChat
	return nil
}

// prepareService checks that the service serves the kind and sets the job's Path.
func prepareService(job *serve.Job, params httprouter.Params, target *url.URL) *outcome.Refusal {
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
