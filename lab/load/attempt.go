package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/service"
)

// Headers of the callers' interface.
const (
	headerWorkspace = "Stoatmount-Workspace"
	headerKind      = "Stoatmount-Kind"
	headerChat      = "Stoatmount-Chat"
	headerDeadline  = "Stoatmount-Deadline-Ms"
	headerPlace     = "Stoatmount-Place"
	headerRepeated  = "Stoatmount-Repeated"
	headerKey       = "Idempotency-Key"
	headerPrompt    = "X-Prompt-Tokens"
	headerCached    = "X-Cached-Tokens"
)

// attemptEnd is how an attempt ended.
type attemptEnd int

const (
	endComplete    attemptEnd = iota // complete response to this request
	endWrong                         // complete HTTP response without the expected text or end marker
	endInterrupted                   // response broke off
	endLost                          // connection broke before a response
	endUnreachable                   // no connection: the request was not sent
	endRefused                       // refused by the fleet
	endTimeout                       // deadline of the caller passed
)

// attempt is the result of sending a request once.
type attempt struct {
	end        attemptEnd
	refusal    refusal
	status     int
	text       string
	place      string
	stored     bool
	prompt     int
	cached     int
	firstToken time.Duration
	detail     string
}

// singleUseBody is a body that net/http cannot retry by itself.
type singleUseBody struct{ io.Reader }

// newRequest builds the HTTP request of one attempt.
func (q *request) newRequest(ctx context.Context, host string) (*http.Request, error) {
	target := q.generator.options.Scheme + "://" + host + q.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, singleUseBody{q.bodyReader()})
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.ContentLength = int64(len(q.body))
	header := req.Header
	header.Set("Content-Type", "application/json")
	header.Set(headerWorkspace, q.workspace.Name)
	header.Set(headerKind, q.kind.Name)
	remaining := q.deadline.Sub(q.generator.clock.Now())
	header.Set(headerDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	setUnlessEmpty(header, headerChat, q.chat)
	setUnlessEmpty(header, headerPlace, q.place)
	setUnlessEmpty(header, headerKey, q.key)
	if q.workspace.Key != "" {
		header.Set("Authorization", "Bearer "+q.workspace.Key)
	}
	return req, nil
}

func setUnlessEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// send sends q once to host and classifies the response.
func (q *request) send(ctx context.Context, host string) attempt {
	req, err := q.newRequest(ctx, host)
	if err != nil {
		return attempt{end: endUnreachable, detail: err.Error()}
	}
	sent := q.generator.clock.Now()
	var conn httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info }}
	resp, err := q.generator.options.HTTP.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		t := failedAttempt(ctx, err)
		t.detail += fmt.Sprintf(", sent at %s, after %v, kept connection: %v, idle for %v",
			sent.UTC().Format("15:04:05.000"), q.generator.clock.Since(sent), conn.Reused, conn.IdleTime)
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedAttempt(resp)
	}
	t := attempt{
		status: resp.StatusCode,
		place:  resp.Header.Get(headerPlace),
		stored: resp.Header.Get(headerRepeated) == "true",
	}
	t.prompt, _ = strconv.Atoi(resp.Header.Get(headerPrompt))
	t.cached, _ = strconv.Atoi(resp.Header.Get(headerCached))
	err = q.readResponse(resp.Body, &t, func() { t.firstToken = q.generator.clock.Since(sent) })
	q.classify(ctx, &t, err)
	return t
}

// failedAttempt is an attempt without a response. Only a failed dial shows that
// the request was not sent.
func failedAttempt(ctx context.Context, err error) attempt {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return attempt{end: endUnreachable, detail: err.Error()}
	case ctx.Err() != nil:
		return attempt{end: endTimeout, detail: err.Error()}
	default:
		return attempt{end: endLost, detail: err.Error()}
	}
}

func refusedAttempt(resp *http.Response) attempt {
	body, err := readRefusal(resp.Body)
	if err != nil {
		return attempt{end: endInterrupted, status: resp.StatusCode, detail: err.Error()}
	}
	return attempt{end: endRefused, status: resp.StatusCode, refusal: body, detail: body.Name}
}

// readResponse reads the text of the response.
func (q *request) readResponse(body io.Reader, t *attempt, first func()) error {
	var err error
	switch {
	case q.kind.Service != "":
		t.text, err = readService(body)
		first()
	case q.stream:
		t.text, err = readStream(body, first)
	default:
		t.text, err = readJSON(body)
		first()
	}
	return err
}

// readService returns the key and body that a plain service echoes.
func readService(body io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return "", errors.Wrap(err, "answer")
	}
	var response service.Response
	if err := json.Unmarshal(data, &response); err != nil {
		return "", errors.Wrap(err, "answer")
	}
	return response.Key + " " + response.Body, nil
}

// classify compares the response with the expected one. A response that broke off
// visibly is interrupted; one that ended cleanly with another text is wrong.
func (q *request) classify(ctx context.Context, t *attempt, err error) {
	switch {
	case err == nil && t.text == q.expected:
		t.end = endComplete
	case err == nil || errors.Is(err, errNoEndMarker):
		t.end = endWrong
		t.detail = "not the complete response to this request"
	case ctx.Err() != nil:
		t.end = endTimeout
		t.detail = err.Error()
	default:
		t.end = endInterrupted
		t.detail = err.Error()
	}
}

// String describes how the attempt ended.
func (t *attempt) String() string {
	switch t.end {
	case endComplete:
		return "whole answer"
	case endRefused:
		return fmt.Sprintf("refused %d %s (%s)", int(t.refusal.Code), t.refusal.Name, t.refusal.Run)
	default:
		return t.detail
	}
}

// run returns whether the request has run, as far as the attempt shows it.
func (t *attempt) run() outcome.Run {
	switch t.end {
	case endComplete, endWrong:
		return outcome.RunDone
	case endUnreachable:
		return outcome.RunNot
	case endRefused:
		return t.refusal.Run
	default:
		return outcome.RunUnknown
	}
}
