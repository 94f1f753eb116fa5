package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// tryEnd says how one try of a request ended.
type tryEnd int

const (
	endWhole       tryEnd = iota // the whole answer to this request
	endWrong                     // a cleanly ended answer that is not the right one
	endCut                       // the answer began and broke off
	endLost                      // the connection broke before an answer
	endUnreachable               // no connection: the request never left
	endRefused                   // a refusal by the fleet
	endTimeout                   // the caller's time ran out
)

// try is the result of sending a request once.
type try struct {
	end        tryEnd
	refusal    refused
	status     int
	text       string
	place      string
	repeated   bool
	prompt     int
	cached     int
	firstToken time.Duration
	detail     string
}

// oneWayBody is a body that net/http cannot send again by itself.
type oneWayBody struct{ io.Reader }

// newRequest builds the HTTP request of one try.
func (q *request) newRequest(ctx context.Context, host string) (*http.Request, error) {
	target := q.generator.options.Scheme + "://" + host + q.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, oneWayBody{q.bodyReader()})
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.ContentLength = int64(len(q.body))
	header := req.Header
	header.Set("Content-Type", "application/json")
	header.Set(headerWorkspace, q.workspace.Name)
	header.Set(headerKind, q.kind.Name)
	left := q.deadline.Sub(q.generator.clock.Now())
	header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
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

// send sends q once to host and judges the answer.
func (q *request) send(ctx context.Context, host string) try {
	req, err := q.newRequest(ctx, host)
	if err != nil {
		return try{end: endUnreachable, detail: err.Error()}
	}
	sent := q.generator.clock.Now()
	resp, err := q.generator.options.HTTP.Do(req)
	if err != nil {
		return failedTry(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedTry(resp)
	}
	t := try{
		status:   resp.StatusCode,
		place:    resp.Header.Get(headerPlace),
		repeated: resp.Header.Get(headerRepeated) == "true",
	}
	t.prompt, _ = strconv.Atoi(resp.Header.Get(headerPrompt))
	t.cached, _ = strconv.Atoi(resp.Header.Get(headerCached))
	err = q.readAnswer(resp.Body, &t, func() { t.firstToken = q.generator.clock.Since(sent) })
	q.judge(ctx, &t, err)
	return t
}

// failedTry is a try without an answer. Only a failed dial shows that the
// request never left.
func failedTry(ctx context.Context, err error) try {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return try{end: endUnreachable, detail: err.Error()}
	case ctx.Err() != nil:
		return try{end: endTimeout, detail: err.Error()}
	default:
		return try{end: endLost, detail: err.Error()}
	}
}

func refusedTry(resp *http.Response) try {
	refusal, err := readRefused(resp.Body)
	if err != nil {
		return try{end: endCut, status: resp.StatusCode, detail: err.Error()}
	}
	return try{end: endRefused, status: resp.StatusCode, refusal: refusal, detail: refusal.Name}
}

// readAnswer reads the text of the answer.
func (q *request) readAnswer(body io.Reader, t *try, first func()) error {
	var err error
	switch {
	case q.kind.Service != "":
		t.text, err = readService(body)
		first()
	case q.stream:
		t.text, err = readStream(body, first)
	default:
		t.text, err = readWhole(body)
		first()
	}
	return err
}

// readService returns what a plain service says that it got.
func readService(body io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return "", errors.Wrap(err, "answer")
	}
	var answer service.Response
	if err := json.Unmarshal(data, &answer); err != nil {
		return "", errors.Wrap(err, "answer")
	}
	return answer.Key + " " + answer.Body, nil
}

// judge compares the answer with what the request asked for. An answer that
// broke off visibly is cut; a clean end with any other text is wrong.
func (q *request) judge(ctx context.Context, t *try, err error) {
	switch {
	case err == nil && t.text == q.expected:
		t.end = endWhole
	case err == nil || errors.Is(err, errNoEnd):
		t.end = endWrong
		t.detail = "the answer is not the whole answer to this request"
	case ctx.Err() != nil:
		t.end = endTimeout
		t.detail = err.Error()
	default:
		t.end = endCut
		t.detail = err.Error()
	}
}

// String describes how the try ended.
func (t *try) String() string {
	switch t.end {
	case endWhole:
		return "whole answer"
	case endRefused:
		return fmt.Sprintf("refused %d %s (%s)", int(t.refusal.Code), t.refusal.Name, t.refusal.Run)
	default:
		return t.detail
	}
}

// run returns what the try says about whether the request has run.
func (t *try) run() outcome.Run {
	switch t.end {
	case endWhole, endWrong:
		return outcome.RunDone
	case endUnreachable:
		return outcome.RunNot
	case endRefused:
		return t.refusal.Run
	default:
		return outcome.RunUnknown
	}
}
