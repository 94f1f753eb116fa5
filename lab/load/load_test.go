package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/lab/load"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/service"
)

// fleetFault is what a fakeFleet does with every request.
type fleetFault int

const (
	none          fleetFault = iota
	lostReply                // executes, then closes the connection
	lostThenRerun            // the same, and executes the retry as well
	crossed                  // responds with another text
	truncated                // ends a stream without its end marker
	interrupted              // breaks off the response
	falseNotRun              // executes, then refuses as not run
	refusedNotRun            // refuses as not run, without executing
	late                     // responds after the deadline
)

// fakeFleet has one entry host.
type fakeFleet struct {
	*httptest.Server
	fault fleetFault

	mu           sync.Mutex
	executed     map[string]int
	addressCalls int
	places       []string
}

func newFakeFleet(c *qt.C, fault fleetFault) *fakeFleet {
	f := &fakeFleet{fault: fault, executed: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/addresses", f.addresses)
	mux.HandleFunc("/v1/chat/completions", f.chat)
	mux.HandleFunc("/v1/services/", f.service)
	f.Server = httptest.NewServer(mux)
	c.Cleanup(f.Close)
	return f
}

func (f *fakeFleet) host() string { return strings.TrimPrefix(f.URL, "http://") }

func (f *fakeFleet) addresses(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	f.addressCalls++
	f.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"addresses":[%q],"ttl_ms":60000}`, f.host())
}

// execute counts an execution of name and returns how many there were.
func (f *fakeFleet) execute(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executed[name]++
	return f.executed[name]
}

func (f *fakeFleet) executions(r *load.RequestRecord) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Key != "" {
		return f.executed[r.Key]
	}
	return f.executed[r.ID]
}

// applyFault applies the faults that precede a response. It reports whether the response was sent.
func (f *fakeFleet) applyFault(w http.ResponseWriter, name string) bool {
	switch f.fault {
	case refusedNotRun:
		refuse(w)
	case falseNotRun:
		f.execute(name)
		refuse(w)
	case lostReply, lostThenRerun:
		if f.fault == lostReply && f.executions(&load.RequestRecord{ID: name}) > 0 {
			return false
		}
		if f.execute(name) == 1 {
			panic(http.ErrAbortHandler)
		}
		return false
	case late:
		time.Sleep(1200 * time.Millisecond)
		f.execute(name)
		return false
	default:
		f.execute(name)
		return false
	}
	return true
}

func refuse(w http.ResponseWriter) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"code":%d,"run":"not_run"}`, int(outcome.Overloaded))
}

func (f *fakeFleet) service(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	if f.applyFault(w, key) {
		return
	}
	if f.fault == crossed {
		key = "other"
	}
	_ = json.NewEncoder(w).Encode(service.Response{Key: key, Body: string(body)})
}

func (f *fakeFleet) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		protocol.ChatRequest
		User string `json:"user"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.mu.Lock()
	f.places = append(f.places, r.Header.Get("Stoatmount-Place"))
	f.mu.Unlock()
	if f.applyFault(w, body.User) {
		return
	}
	text := engine.ExpectedResponse(body.Messages, body.MaxTokens)
	if f.fault == crossed {
		text = "other " + text
	}
	w.Header().Set("Stoatmount-Place", "token")
	if !body.Stream {
		_ = json.NewEncoder(w).Encode(protocol.ChatResponse{Choices: []protocol.Choice{{Message: protocol.Message{Content: text}}}})
		return
	}
	f.stream(w, text)
}

func (f *fakeFleet) stream(w http.ResponseWriter, text string) {
	for _, part := range []string{text[:3], text[3:]} {
		data, _ := json.Marshal(protocol.Chunk{Choices: []protocol.ChunkChoice{{Delta: protocol.Message{Content: part}}}})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		if f.fault == interrupted {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	if f.fault != truncated {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", protocol.StreamEnd)
	}
}

// run sends load to f until count requests of one kind have finished.
func run(c *qt.C, f *fakeFleet, kind load.Kind, count int) load.Result {
	kind.Name, kind.PerSecond, kind.Deadline = "k", 200, time.Second
	g, err := load.New(load.Options{
		Seed: 1, Entries: []string{f.host()}, Workspaces: []load.Workspace{{Name: "w"}},
		Kinds: []load.Kind{kind}, Backoff: time.Millisecond, MaxAttempts: 3, MaxCallers: count,
	})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan load.Result)
	go func() { done <- g.Run(ctx) }()
	limit := time.Now().Add(time.Minute)
	for result := g.Result(); result.Total().Sent < count; result = g.Result() {
		c.Assert(time.Now().Before(limit), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
	stop()
	return <-done
}

var (
	booking    = load.Kind{Service: "booking", Path: "/booths", Keyed: true}
	streamed   = load.Kind{StreamShare: 1, ResponseTokens: 4}
	unstreamed = load.Kind{ResponseTokens: 4}
)

func TestEveryFaultIsDetected(t *testing.T) {
	tests := []struct {
		name      string
		kind      load.Kind
		fault     fleetFault
		verdict   load.Verdict
		violation bool // whether the audit finds a violation
	}{
		{"booking", booking, none, load.InTime, false},
		{"stream", streamed, none, load.InTime, false},
		{"plain", unstreamed, none, load.InTime, false},
		{"booking", booking, crossed, load.Wrong, true},
		{"stream", streamed, crossed, load.Wrong, true},
		{"plain", unstreamed, crossed, load.Wrong, true},
		{"stream", streamed, truncated, load.Wrong, true},
		{"stream", streamed, interrupted, load.Unknown, false},
		{"booking", booking, refusedNotRun, load.NotRun, false},
		{"booking", booking, falseNotRun, load.NotRun, true},
		{"plain", unstreamed, falseNotRun, load.NotRun, true},
		{"booking", booking, lostReply, load.InTime, false},
		{"booking", booking, lostThenRerun, load.InTime, true},
		{"plain", unstreamed, lostThenRerun, load.InTime, false},
		{"plain", unstreamed, late, load.Late, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s-%d", test.name, test.fault), func(t *testing.T) {
			c := qt.New(t)
			f := newFakeFleet(c, test.fault)
			result := run(c, f, test.kind, 5)
			for _, r := range result.Requests {
				c.Check(r.Verdict, qt.Equals, test.verdict, qt.Commentf("%v", r.AttemptResults))
			}
			audit := load.NewAudit(&result, f.executions)
			c.Check(audit.Violations() > 0, qt.Equals, test.violation, qt.Commentf("%v", audit.Findings))
		})
	}
}

func TestChatsKeepTheirPlaceToken(t *testing.T) {
	c := qt.New(t)
	f := newFakeFleet(c, none)
	kind := streamed
	kind.Turns = 3
	result := run(c, f, kind, 9)
	c.Check(result.Total().InTime, qt.Equals, result.Total().Sent)
	returned := 0
	for _, place := range f.places {
		if place == "token" {
			returned++
		}
	}
	c.Check(returned >= 6, qt.IsTrue, qt.Commentf("%d", returned))
	c.Check(f.addressCalls < result.Total().Sent, qt.IsTrue, qt.Commentf("addresses are cached for their TTL"))
}

func TestDuplicateSendsAreOneRequest(t *testing.T) {
	c := qt.New(t)
	f := newFakeFleet(c, none)
	kind := booking
	kind.DuplicateShare = 1
	result := run(c, f, kind, 5)
	audit := load.NewAudit(&result, f.executions)
	c.Check(audit.MoreThanOnce, qt.Equals, result.Total().Sent)
	c.Check(result.Total().Attempts, qt.Equals, 2*result.Total().Sent)
}

func TestUnreachableEntriesAreSkipped(t *testing.T) {
	c := qt.New(t)
	f := newFakeFleet(c, none)
	closed := httptest.NewServer(http.NotFoundHandler())
	host := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	g, err := load.New(load.Options{Entries: []string{host, f.host()}, Workspaces: []load.Workspace{{Name: "w"}}, Kinds: []load.Kind{
		{Name: "k", Deadline: time.Minute, PerSecond: 100},
	}})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for g.Result().Kinds[0].Sent < 5 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	result := g.Run(ctx)
	c.Check(result.Total().InTime, qt.Equals, result.Total().Sent)
}
