package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// fakeController accepts every mark, and pushes made on the version in force.
type fakeController struct {
	state  config.State
	author string
	fail   error
}

func (f *fakeController) Fleet(context.Context) api.Fleet {
	return api.Fleet{RespondedBy: "entry-1", Routers: []api.Router{{Name: "entry-1"}}}
}
func (f *fakeController) Burn(context.Context) api.Burn {
	return api.Burn{Unresponsive: []string{"entry-2"}}
}
func (f *fakeController) Loads(context.Context) plan.Loads { return plan.Loads{} }
func (f *fakeController) Snapshot() *config.Snapshot {
	if f.state.Version == 0 {
		return nil
	}
	return config.NewSnapshot(f.state)
}
func (f *fakeController) History(context.Context, int) (api.History, error) {
	return api.History{Changes: []api.Change{{Version: f.state.Version, Author: f.author}}}, nil
}
func (f *fakeController) Push(_ context.Context, author string, push api.Push) (config.Version, error) {
	if push.Base != f.state.Version {
		return 0, outcome.NotRun(outcome.VersionConflict, "In force is %d.", f.state.Version)
	}
	f.author = author
	f.state = config.State{Version: f.state.Version + 1, Config: push.Config}
	return f.state.Version, nil
}
func (f *fakeController) Mark(_ context.Context, _ string, mark api.Mark) (config.Version, error) {
	f.state.Version++
	f.state.OutOfService = nil
	if mark.Out {
		f.state.OutOfService = []config.OutOfService{{Target: mark.Target}}
	}
	return f.state.Version, f.fail
}
func (f *fakeController) Vars() []expvar.KeyValue {
	return []expvar.KeyValue{{Key: "a", Value: new(expvar.Int)}, {Key: "b", Value: new(expvar.Int)}}
}

const key = "operators' key"

func serve(c *qt.C, controller operator.Controller) *httptest.Server {
	hash := sha256.Sum256([]byte(key))
	server, err := operator.New(controller, hex.EncodeToString(hash[:]), false, logr.Discard())
	c.Assert(err, qt.IsNil)
	web := httptest.NewServer(server.Handler())
	c.Cleanup(web.Close)
	return web
}

func connect(c *qt.C, key string, routers ...string) *client.Client {
	cl, err := client.New(client.Options{Routers: routers, Key: key, Author: "ana"})
	c.Assert(err, qt.IsNil)
	return cl
}

func code(c *qt.C, err error) outcome.Code {
	var refusal *api.Refusal
	c.Assert(errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	return refusal.Code
}

func TestWrongKeyIsRefused(t *testing.T) {
	c := qt.New(t)
	web := serve(c, &fakeController{})
	for _, wrong := range []string{"", "x", key + "x"} {
		_, err := connect(c, wrong, web.URL).Status(t.Context())
		c.Check(code(c, err), qt.Equals, outcome.OperatorUnauthorised)
	}
	fleet, err := connect(c, key, web.URL).Status(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(fleet.RespondedBy, qt.Equals, "entry-1")
}

func TestEmptyKeyNeverMatches(t *testing.T) {
	c := qt.New(t)
	hash := sha256.Sum256(nil)
	server, err := operator.New(&fakeController{}, hex.EncodeToString(hash[:]), false, logr.Discard())
	c.Assert(err, qt.IsNil)
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, api.PathStatus, nil))
	c.Check(recorder.Code, qt.Equals, http.StatusUnauthorized)
	_, err = operator.New(&fakeController{}, "", false, logr.Discard())
	c.Check(err, qt.IsNotNil)
}

func TestPushChecksBaseAndRecordsAuthor(t *testing.T) {
	c := qt.New(t)
	controller := &fakeController{}
	cl := connect(c, key, serve(c, controller).URL)
	state, err := cl.Config(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(state.Version, qt.Equals, config.Version(0))
	pushed := api.Push{Config: config.Config{Zones: []config.Zone{{Name: "a", Region: "r"}}}}
	version, err := cl.Push(t.Context(), pushed)
	c.Assert(err, qt.IsNil)
	c.Check(version, qt.Equals, config.Version(1))
	_, err = cl.Push(t.Context(), pushed)
	c.Check(code(c, err), qt.Equals, outcome.VersionConflict)
	history, err := cl.History(t.Context(), 5)
	c.Assert(err, qt.IsNil)
	c.Check(history.Changes[0].Author, qt.Equals, "ana")
}

func TestMarkRequiresKnownTarget(t *testing.T) {
	c := qt.New(t)
	controller := &fakeController{}
	cl := connect(c, key, serve(c, controller).URL)
	zone := config.Target{Scope: config.ScopeZone, Name: "a"}
	_, err := cl.Mark(t.Context(), api.Mark{Target: zone, Out: true})
	c.Check(code(c, err), qt.Equals, outcome.NoConfig)
	controller.state = config.State{Version: 1, Config: config.Config{Zones: []config.Zone{{Name: "a"}}}}
	_, err = cl.Preview(t.Context(), api.Mark{Target: config.Target{Scope: config.ScopeZone, Name: "b"}, Out: true})
	c.Check(code(c, err), qt.Equals, outcome.UnknownName)
	c.Check(err, qt.ErrorMatches, `(?s)6004 unknown_name: .*There is no zone "b". Known are: a\.`)
	_, err = cl.Mark(t.Context(), api.Mark{Target: zone, Out: true})
	c.Assert(err, qt.IsNil)
	c.Check(controller.state.IsOutOfService(zone), qt.IsTrue)
	_, err = cl.Mark(t.Context(), api.Mark{Target: zone})
	c.Assert(err, qt.IsNil)
	c.Check(controller.state.IsOutOfService(zone), qt.IsFalse)
	for _, host := range []config.Target{{Scope: config.ScopeHost, Name: "entry-1"}, {Scope: "planet", Name: "a"}} {
		_, err = cl.Preview(t.Context(), api.Mark{Target: host, Out: true})
		c.Check(err == nil, qt.Equals, host.Scope == config.ScopeHost)
	}
	controller.fail = errors.New("unexpected")
	_, err = cl.Mark(t.Context(), api.Mark{Target: zone, Out: true})
	c.Check(code(c, err), qt.Equals, outcome.InternalInvariant)
}

func TestBadRequestsAreRefusedWithACode(t *testing.T) {
	c := qt.New(t)
	web := serve(c, &fakeController{})
	tests := []struct {
		method, path, body string
		want               outcome.Code
	}{
		{"POST", api.PathConfig, "{", outcome.BadRequest},
		{"POST", api.PathConfig, `{"colour":1}`, outcome.BadRequest},
		{"POST", api.PathConfig, `{"base":"` + strings.Repeat("x", 9<<20), outcome.BodyTooLarge},
		{"GET", api.PathHistory + "?limit=-1", "", outcome.BadRequest},
		{"DELETE", api.PathConfig, "", outcome.MethodNotAllowed},
		{"GET", "/v1/nothing", "", outcome.NotFound},
	}
	for _, test := range tests {
		request, err := http.NewRequest(test.method, web.URL+test.path, strings.NewReader(test.body))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		var refusal api.Refusal
		c.Check(json.NewDecoder(response.Body).Decode(&refusal), qt.IsNil)
		c.Check(response.Body.Close(), qt.IsNil)
		c.Check(refusal.Code, qt.Equals, test.want, qt.Commentf("%s %s", test.method, test.path))
		c.Check(response.StatusCode, qt.Equals, test.want.Info().Status)
	}
}

func TestVarsAreJSON(t *testing.T) {
	c := qt.New(t)
	server, err := operator.New(&fakeController{}, "", true, logr.Discard())
	c.Assert(err, qt.IsNil)
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	response, err := http.Get(web.URL + api.PathVars)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.JSONEquals, map[string]int{"a": 0, "b": 0})
}

// A change is sent to the next router only if no connection to the first one was
// opened: a router that was connected to may have made the change.
func TestNextRouterIsTriedOnlyIfNoConnectionWasOpened(t *testing.T) {
	c := qt.New(t)
	controller := &fakeController{}
	web := serve(c, controller)
	closed := httptest.NewServer(nil)
	closed.Close()
	_, err := connect(c, key, closed.URL, web.URL).Push(t.Context(), api.Push{})
	c.Check(err, qt.IsNil)
	var attempts atomic.Int32
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		attempts.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	_, err = connect(c, key, aborting.URL, web.URL).Push(t.Context(), api.Push{Base: 1})
	c.Check(err, qt.IsNotNil)
	c.Check(attempts.Load(), qt.Equals, int32(1))
	c.Check(controller.state.Version, qt.Equals, config.Version(1))
	_, err = connect(c, key, closed.URL).Status(t.Context())
	var unreachable *client.UnreachableError
	c.Check(errors.As(err, &unreachable), qt.IsTrue)
}

// FuzzBodies checks that every response is JSON, with a coded refusal unless its
// status is 2xx.
func FuzzBodies(f *testing.F) {
	f.Add(api.PathConfig, []byte(`{"base":0,"config":{"zones":[{"name":"a"}]}}`))
	f.Add(api.PathOut, []byte(`{"target":{"scope":"zone","name":"a"}}`))
	f.Add(api.PathPreview, []byte(`{"out":true,"target":{"scope":"host","name":""}}`))
	controller := &fakeController{state: config.State{Version: 1, Config: config.Config{Zones: []config.Zone{{Name: "a"}}}}}
	server, err := operator.New(controller, "", true, logr.Discard())
	if err != nil {
		f.Fatal(err)
	}
	handler := server.Handler()
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		request, err := http.NewRequest(http.MethodPost, "http://router/", strings.NewReader(string(body)))
		if err != nil {
			t.Skip()
		}
		request.URL.Path = path
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code/100 == 3 {
			return // httprouter redirects to the cleaned path
		}
		var refusal api.Refusal
		if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil {
			t.Fatalf("%d %q", recorder.Code, recorder.Body)
		}
		if recorder.Code/100 != 2 && refusal.Code.Info().Status != recorder.Code {
			t.Fatalf("status %d with code %d", recorder.Code, refusal.Code)
		}
	})
}
