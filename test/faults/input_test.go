package faults

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

const goodChat = `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":2}`

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(1, 1), 1)
	router := f.CallerAddresses()[0]
	huge := strings.Repeat("x", 5<<20) // Limits.BodyBytes is 4 MiB
	tests := []struct {
		name   string
		method string
		path   string
		header map[string]string
		body   string
		code   outcome.Code
	}{
		{"malformed JSON", "POST", "/v1/chat/completions", nil, `{"messages":`, outcome.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", nil, `{}`, outcome.BadRequest},
		{"not an object", "POST", "/v1/chat/completions", nil, `[1]`, outcome.BadRequest},
		{"other model", "POST", "/v1/chat/completions", nil, `{"model":"x","messages":[{}]}`, outcome.BadModel},
		{"unknown kind", "POST", "/v1/chat/completions", map[string]string{caller.HeaderKind: "no"}, goodChat, outcome.BadKind},
		{"kind of a service", "POST", "/v1/chat/completions", map[string]string{caller.HeaderKind: "book", caller.HeaderIdempotencyKey: newKey(c)}, goodChat, outcome.BadKind},
		{"unknown workspace", "POST", "/v1/chat/completions", map[string]string{caller.HeaderWorkspace: "no"}, goodChat, outcome.BadWorkspaceKey},
		{"negative deadline", "POST", "/v1/chat/completions", map[string]string{caller.HeaderDeadlineMs: "-1"}, goodChat, outcome.BadDeadline},
		{"overflowing deadline", "POST", "/v1/chat/completions", map[string]string{caller.HeaderDeadlineMs: "99999999999999999999"}, goodChat, outcome.BadDeadline},
		{"deadline too short", "POST", "/v1/chat/completions", map[string]string{caller.HeaderDeadlineMs: "1"}, goodChat, outcome.DeadlineTooShort},
		{"huge header", "POST", "/v1/chat/completions", map[string]string{"X-Huge": strings.Repeat("h", 70<<10)}, goodChat, outcome.HeadersTooLarge}, // Limits.HeaderBytes is 64 KiB
		{"huge body", "POST", "/v1/chat/completions", nil, huge, outcome.BodyTooLarge},
		{"long chat name", "POST", "/v1/chat/completions", map[string]string{caller.HeaderChat: strings.Repeat("c", 300)}, goodChat, outcome.BadRequest}, // names have at most 256 bytes
		{"no key", "POST", "/v1/services/s/book", map[string]string{caller.HeaderKind: "book"}, `{}`, outcome.KeyRequired},
		{"bad key", "POST", "/v1/services/s/book", map[string]string{caller.HeaderKind: "book", caller.HeaderIdempotencyKey: "abc"}, `{}`, outcome.BadIdempotencyKey},
		{"other service", "POST", "/v1/services/x/book", map[string]string{caller.HeaderKind: "book", caller.HeaderIdempotencyKey: newKey(c)}, `{}`, outcome.NotFound},
		{"wrong method", "GET", "/v1/chat/completions", nil, "", outcome.MethodNotAllowed},
		{"wrong path", "POST", "/v2/none", nil, "", outcome.NotFound},
	}
	c.Assert(chat(c, router, "warm up", 2, false).status, qt.Equals, http.StatusOK)
	before := f.Site.Stats().Executions
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			request, err := http.NewRequest(test.method, "http://"+router+test.path, strings.NewReader(test.body))
			c.Assert(err, qt.IsNil)
			request.Header.Set(caller.HeaderWorkspace, "w")
			request.Header.Set(caller.HeaderKind, "chat")
			for name, value := range test.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			c.Assert(err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			var refused caller.ErrorResponse
			c.Assert(json.NewDecoder(response.Body).Decode(&refused), qt.IsNil)
			c.Check(refused.Code, qt.Equals, test.code, qt.Commentf("%+v", refused))
			c.Check(refused.Run, qt.Equals, outcome.RunNot)
			c.Check(response.StatusCode, qt.Equals, test.code.Info().Status)
		})
	}
	c.Check(f.Site.Stats().Executions, qt.Equals, before)
	c.Check(chat(c, router, "still there", 2, false).status, qt.Equals, http.StatusOK)
}

func TestTruncatedBodyIsNotRunAndRouterStaysUp(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(1, 1), 1)
	before := f.Site.Stats().Executions
	conn, err := net.Dial("tcp", f.CallerAddresses()[0])
	c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nStoatmount-Workspace: w\r\nStoatmount-Kind: chat\r\nContent-Length: 500\r\n\r\n%s", goodChat)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	var refused caller.ErrorResponse
	c.Assert(json.NewDecoder(response.Body).Decode(&refused), qt.IsNil)
	c.Check(refused.Code, qt.Equals, outcome.BadRequest)
	c.Check(refused.Run, qt.Equals, outcome.RunNot)
	c.Check(conn.Close(), qt.IsNil)
	c.Check(f.Site.Stats().Executions, qt.Equals, before)
	c.Check(chat(c, f.CallerAddresses()[0], "still there", 2, false).status, qt.Equals, http.StatusOK)
}

func TestSlowBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	f, err := fleet.Start(fleet.Options{
		Config: smallConfig(1, 1), Routers: 1, Log: logr.Discard(), Site: testbed.Options{},
		AdjustSettings: func(s *settings.Settings) { s.Limits.BodyTime = config.Duration(200 * time.Millisecond) },
	})
	c.Assert(err, qt.IsNil)
	defer f.Close()
	await(c, "the router", f.Routers[0].Node.Joined)
	c.Assert(f.Push(c.Context()), qt.IsNil)
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = io.Copy(writer, bytes.NewReader([]byte(goodChat[:10]))) }()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddresses()[0]+"/v1/chat/completions", reader)
	c.Assert(err, qt.IsNil)
	request.Header.Set(caller.HeaderWorkspace, "w")
	request.Header.Set(caller.HeaderKind, "chat")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var refused caller.ErrorResponse
	c.Assert(json.NewDecoder(response.Body).Decode(&refused), qt.IsNil)
	c.Check(refused.Code, qt.Equals, outcome.BodyTooSlow)
	c.Check(refused.Run, qt.Equals, outcome.RunNot)
}

func TestDisconnectedCallerCancelsAtEndpoint(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(1, 1), 1)
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"long"}],"max_tokens":60000}`
	request, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddresses()[0]+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set(caller.HeaderWorkspace, "w")
	request.Header.Set(caller.HeaderKind, "chat")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(response.Body, make([]byte, 64))
	c.Assert(err, qt.IsNil)
	c.Check(f.Site.Endpoint("e0").InProgress(), qt.Equals, 1)
	c.Check(response.Body.Close(), qt.IsNil)
	await(c, "the cancellation", func() bool { return f.Site.Endpoint("e0").InProgress() == 0 })
}

func TestTooManyConnectionsAreRefusedWithACode(t *testing.T) {
	c := qt.New(t)
	f, err := fleet.Start(fleet.Options{
		Config: smallConfig(1, 1), Routers: 1, Log: logr.Discard(), Site: testbed.Options{},
		AdjustSettings: func(s *settings.Settings) { s.Limits.Connections = 1 },
	})
	c.Assert(err, qt.IsNil)
	defer f.Close()
	await(c, "the router", f.Routers[0].Node.Joined)
	c.Assert(f.Push(c.Context()), qt.IsNil)
	idle, err := net.Dial("tcp", f.CallerAddresses()[0])
	c.Assert(err, qt.IsNil)
	await(c, "the refusal", func() bool {
		r := chat(c, f.CallerAddresses()[0], "hi", 2, false)
		return r.refused.Code == outcome.TooManyConnections && r.refused.Run == outcome.RunNot
	})
	c.Assert(idle.Close(), qt.IsNil)
	await(c, "the response", func() bool { return chat(c, f.CallerAddresses()[0], "hi", 2, false).status == http.StatusOK })
}
