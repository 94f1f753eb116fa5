package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/version/config"
)

// waitLimit bounds waits for a condition.
const waitLimit = time.Minute

const second = config.Duration(time.Second)

// smallConfig has two kinds: chats on model m and bookings on service s.
func smallConfig(engines, services int) config.Config {
	cfg := config.Config{
		Zones:    []config.Zone{{Name: "z", Region: "r"}},
		Models:   []config.Model{{Name: "m", Version: "1", PrefillPerSecond: 100_000}},
		Services: []config.Service{{Name: "s"}},
		Kinds: []config.Kind{
			{Name: "chat", Model: "m", Worth: 10, FullUntil: 10 * second, Deadline: 30 * second,
				FirstByte: 2 * second, BetweenBytes: second, Objective: 0.99},
			{Name: "book", Service: "s", NonIdempotent: true, KeyRequired: true, Worth: 20, FullUntil: 5 * second,
				Deadline: 20 * second, FirstByte: 2 * second, BetweenBytes: second, Objective: 0.999},
		},
		Workspaces: []config.Workspace{{Name: "w", Share: 1, KeyHash: strings.Repeat("0", 64)}},
		Limits: config.Limits{
			MeanMultiple: 1.25, LoadLag: second, LedgerWindow: 3600 * second, LedgerShards: 2,
			CrashLimit: 3, RetryShare: 0.5, AddressTTL: 2 * second, WeightLoadsPerMinute: 60,
		},
	}
	for i := range engines {
		cfg.Endpoints = append(cfg.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("e%d", i), Zone: "z", Model: "m", Capacity: 8, ColdCapacity: 4, WarmAfter: 4, CacheTokens: 100_000,
		})
	}
	for i := range services {
		cfg.Endpoints = append(cfg.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("s%d", i), Zone: "z", Service: "s", Capacity: 8, ColdCapacity: 4, WarmAfter: 4,
		})
	}
	return cfg
}

func start(c *qt.C, cfg config.Config, routers int) *fleet.Fleet {
	f, err := fleet.Start(fleet.Options{
		Config: cfg, Routers: routers, Log: logr.Discard(), Seed: 1,
		Site: testbed.Options{Engine: engine.Options{TokenTime: 2 * time.Millisecond, KeepFinished: 5 * time.Second, ResumeGrace: 5 * time.Second}},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	c.Cleanup(cancel)
	c.Assert(f.Push(ctx), qt.IsNil)
	return f
}

// response is a response as seen by a caller.
type response struct {
	status  int
	text    string // of a chat, or the body from a service
	refused caller.ErrorResponse
	header  http.Header
	bodyErr error // the body ended early
}

func send(c *qt.C, router, path string, header map[string]string, body []byte) response {
	request, err := http.NewRequest(http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.GetBody = nil
	request.Header.Set(caller.HeaderWorkspace, "w")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r := response{status: resp.StatusCode, text: string(data), header: resp.Header, bodyErr: err}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.Unmarshal(data, &r.refused)
	}
	return r
}

func messages(text string) []protocol.Message {
	return []protocol.Message{{Role: "user", Content: text}}
}

func chat(c *qt.C, router, text string, tokens int, stream bool) response {
	body, err := json.Marshal(protocol.ChatRequest{Model: "m", Messages: messages(text), Stream: stream, MaxTokens: tokens})
	c.Assert(err, qt.IsNil)
	r := send(c, router, "/v1/chat/completions", map[string]string{caller.HeaderKind: "chat"}, body)
	if r.status == http.StatusOK && stream {
		r.text = streamText(c, r.text)
	}
	return r
}

// streamText joins the tokens of an event stream and checks that it ends with its end marker.
func streamText(c *qt.C, raw string) string {
	var text strings.Builder
	ended := false
	for line := range strings.SplitSeq(raw, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		c.Assert(ended, qt.IsFalse, qt.Commentf("event after the end marker"))
		if data == protocol.StreamEnd {
			ended = true
			continue
		}
		var chunk protocol.Chunk
		c.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	c.Assert(ended, qt.IsTrue)
	return text.String()
}

func book(c *qt.C, router, key string) response {
	return send(c, router, "/v1/services/s/book", map[string]string{
		caller.HeaderKind: "book", caller.HeaderIdempotencyKey: key,
	}, []byte(`{"booth":1}`))
}

func newKey(c *qt.C) string {
	key, err := uuid.NewV7()
	c.Assert(err, qt.IsNil)
	return key.String()
}

// injectFault switches a fault on at all endpoints of a group, for count requests each.
func injectFault(c *qt.C, f *fleet.Fleet, group string, name fault.Name, count int) {
	for _, e := range f.Site.Endpoints {
		if e.Group() == group {
			c.Assert(e.Faults().On(fault.Fault{Name: name, Count: count, Probability: 1}), qt.IsNil)
		}
	}
}

func checkGuarantees(c *qt.C, f *fleet.Fleet) {
	c.Check(f.Violations(), qt.Equals, int64(0))
	c.Check(f.Site.Stats().RepeatedKeys, qt.Equals, 0)
}

// await waits until holds returns true.
func await(c *qt.C, what string, holds func() bool) {
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
