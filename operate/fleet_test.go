package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// fakeFleet is a fleet with one live and one stale router. The requests in
// progress at an endpoint out of service drop by one with each status poll.
type fakeFleet struct {
	operator.ConfigChanges
	*fakeLog
	running map[string]int
	counted []api.KindCounts
}

// fakeLog accepts every change whose base version is in force. It keeps one mark.
type fakeLog struct {
	mu      sync.Mutex
	state   config.State
	entries []configlog.Entry
}

func (f *fakeLog) Submit(_ context.Context, c configlog.Change) (configlog.Decision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := config.Version(len(f.entries) + 1)
	decision := configlog.Decision{Accepted: c.Base == f.state.Version, Version: next, Code: outcome.VersionConflict}
	if decision.Accepted {
		f.state.Version = next
		switch c.Op {
		case configlog.OpPush:
			f.state.Config = *c.Config
		case configlog.OpTakeOut:
			f.state.OutOfService = []config.OutOfService{{Target: *c.Target, Author: c.Author}}
		case configlog.OpBringBack:
			f.state.OutOfService = nil
		}
	}
	f.entries = append(f.entries, configlog.Entry{Base: c.Base, Author: c.Author, Op: c.Op, Target: c.Target, Reason: c.Reason, Decision: decision})
	return decision, nil
}

func (f *fakeLog) History() []configlog.Entry { return f.entries }

func (f *fakeLog) Snapshot() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return config.NewSnapshot(f.state)
}

func (f *fakeFleet) Fleet(context.Context) api.Fleet {
	snapshot := f.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	live := api.Router{Name: "entry-1", Zone: "xela-a", ConfigFresh: true, ConfigVersion: snapshot.Version}
	for i, e := range snapshot.Config.Endpoints {
		if snapshot.IndexOutOfService(i) && f.running[e.Name] > 0 {
			f.running[e.Name]--
		}
		live.Endpoints = append(live.Endpoints, api.Endpoint{Name: e.Name, Permits: f.running[e.Name], Usable: true})
	}
	stale := api.Router{Name: "entry-2", Zone: "xela-b", AgeMs: 60_000, ConfigFresh: true}
	return api.Fleet{RespondedBy: "entry-1", Routers: []api.Router{live, stale}}
}

func (f *fakeFleet) Burn(context.Context) api.Burn {
	return api.Burn{At: burnTime, Unresponsive: []string{"entry-2"}, Kinds: f.counted, Processes: []api.Process{{Host: "entry-1", Live: true, Started: burnTime.Add(-time.Hour)}}}
}

func (f *fakeFleet) Loads(context.Context) plan.Loads {
	loads := plan.Loads{Hosts: []plan.HostLoad{{Name: "entry-1", Zone: "xela-a"}, {Name: "entry-2", Zone: "xela-b"}}}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.state.Config.Endpoints {
		name := f.state.Config.Endpoints[i].Name
		loads.Endpoints = append(loads.Endpoints, plan.EndpointLoad{Name: name, InProgress: f.running[name], Usable: true})
	}
	return loads
}

func (f *fakeFleet) History(ctx context.Context, limit int) (api.History, error) {
	return f.ConfigChanges.History(ctx, limit)
}

func (f *fakeFleet) Snapshot() *config.Snapshot { return f.fakeLog.Snapshot() }

func (f *fakeFleet) Vars() []expvar.KeyValue { return nil }

var burnTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// startFleet returns a fleet and a function that runs commands on it.
func startFleet(c *qt.C) (*fakeFleet, func(args ...string) (int, string, string)) {
	log := &fakeLog{}
	fleet := &fakeFleet{ConfigChanges: operator.ConfigChanges{Follower: log}, fakeLog: log, running: map[string]int{"adapt-1": 3, "adapt-4": 2}}
	server, err := operator.New(fleet, "", true, logr.Discard())
	c.Assert(err, qt.IsNil)
	web := httptest.NewServer(server.Handler())
	c.Cleanup(web.Close)
	return fleet, func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		env := &Env{Context: context.Background(), Clock: clockwork.NewRealClock(), In: strings.NewReader(""), Out: &out, Err: &errOut, Poll: time.Millisecond}
		status := Main(append(args, "--router", web.URL, "--as", "ana"), env)
		return status, out.String(), errOut.String()
	}
}

const voces = "../examples/voces-unidas/answers.toml"

func TestPushAnswersThenZoneOutAndBack(t *testing.T) {
	c := qt.New(t)
	fleet, stoatctl := startFleet(c)

	status, out, notes := stoatctl("config", "push", voces, "--reason", "first")
	c.Assert(status, qt.Equals, StatusDone, qt.Commentf("%s", notes))
	c.Check(out, qt.Contains, "accepted: version 1")
	c.Check(notes, qt.Contains, "no configuration is in force yet")

	status, out, _ = stoatctl("config", "generate", "../examples/sismolab/answers.toml", "--json")
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(out, qt.Contains, `"key": "endpoints.adapt-1"`)
	c.Check(out, qt.Contains, `"new": "draft-1"`)

	status, _, notes = stoatctl("config", "push", voces, "--base", "0")
	c.Check(status, qt.Equals, StatusFailed)
	c.Check(notes, qt.Contains, "6002 version_conflict: The change was made on a version that is no longer in force")

	status, out, _ = stoatctl("zone", "out", "xela-a")
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(out, qt.Contains, "5 requests are in progress there")
	c.Check(out, qt.Contains, "drained")
	c.Check(out, qt.Contains, "out of service, version 3")

	status, out, _ = stoatctl("status")
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(out, qt.Contains, "out of service: zone xela-a")
	c.Check(out, qt.Contains, "last seen, not current: entry-2")

	status, out, _ = stoatctl("zone", "in", "xela-a", "--json")
	c.Assert(status, qt.Equals, StatusDone)
	var result markResult
	c.Assert(json.Unmarshal([]byte(out), &result), qt.IsNil)
	c.Check(result.Impact.Groups[0].EndpointsAfter, qt.Equals, 9)
	c.Check(fleet.state.OutOfService, qt.HasLen, 0)

	status, out, _ = stoatctl("config", "history")
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(out, qt.Contains, "configuration: first")
	c.Check(out, qt.Contains, "version_conflict")
	c.Check(out, qt.Contains, "zone xela-a out")
}

func TestViolatingGuaranteesNeedsConfirmation(t *testing.T) {
	c := qt.New(t)
	fleet, stoatctl := startFleet(c)
	status, _, _ := stoatctl("config", "push", voces)
	c.Assert(status, qt.Equals, StatusDone)
	fleet.state.OutOfService = []config.OutOfService{{Target: config.Target{Scope: config.ScopeZone, Name: "xela-a"}}}
	fleet.state.Config.Endpoints = fleet.state.Config.Endpoints[:2]
	status, out, notes := stoatctl("zone", "out", "xela-b")
	c.Check(status, qt.Equals, StatusFailed)
	c.Check(notes, qt.Contains, "give --yes")
	c.Check(out, qt.Contains, "nothing would be left to serve it")
	c.Check(fleet.state.Version, qt.Equals, config.Version(1))
	status, _, notes = stoatctl("zone", "out", "xela-b", "--yes", "--drain", "0s")
	c.Check(status, qt.Equals, StatusDone, qt.Commentf("%s", notes))
	status, _, notes = stoatctl("zone", "out", "xela-z")
	c.Check(status, qt.Equals, StatusFailed)
	c.Check(notes, qt.Contains, "Known are: xela-a, xela-b, xela-c")
}

func TestQuestionnaireAndGeneratedConfig(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "answers.toml")
	status, _, _ := run(t, "answers", "new", file)
	c.Assert(status, qt.Equals, StatusDone)
	status, _, _ = run(t, "answers", "new", file)
	c.Check(status, qt.Equals, StatusFailed)
	status, out, _ := run(t, "answers", "check", file)
	c.Check(status, qt.Equals, StatusFailed)
	c.Check(out, qt.Contains, "organisation: is missing")
	generated := filepath.Join(t.TempDir(), "config.toml")
	status, out, _ = run(t, "config", "generate", voces, "--out", generated)
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(out, qt.Contains, "limits.ledger_shards")
	status, out, _ = run(t, "config", "check", generated)
	c.Check(status, qt.Equals, StatusDone, qt.Commentf("%s", out))
	text, err := os.ReadFile(generated)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(generated, append(text, "colour = 1\n"...), 0o600), qt.IsNil)
	status, out, _ = run(t, "config", "check", generated)
	c.Check(status, qt.Equals, StatusFailed)
	c.Check(out, qt.Contains, "unknown key")
}

func TestSettingsOfEveryHostAreValid(t *testing.T) {
	c := qt.New(t)
	folder := filepath.Join(t.TempDir(), "settings")
	status, _, notes := run(t, "settings", "generate", voces, "--out", folder)
	c.Assert(status, qt.Equals, StatusDone, qt.Commentf("%s", notes))
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	c.Assert(err, qt.IsNil)
	c.Check(files, qt.HasLen, 7)
	for _, file := range files {
		status, out, _ := run(t, "settings", "check", file)
		c.Check(status, qt.Equals, StatusDone, qt.Commentf("%s", out))
	}
	status, _, _ = run(t, "settings", "generate", voces, "--host", "nobody")
	c.Check(status, qt.Equals, StatusFailed)
	status, _, _ = run(t, "settings", "generate", voces)
	c.Check(status, qt.Equals, StatusUsage)
}

// The number of ledger shards is fixed by the first configuration.
func TestRevisedAnswersKeepShardsInForce(t *testing.T) {
	c := qt.New(t)
	fleet, stoatctl := startFleet(c)
	status, _, _ := stoatctl("config", "push", voces)
	c.Assert(status, qt.Equals, StatusDone)
	fleet.state.Config.Limits.LedgerShards = 7
	status, _, notes := stoatctl("config", "push", voces)
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(notes, qt.Contains, "limits.ledger_shards = 7")
	c.Check(fleet.state.Config.Limits.LedgerShards, qt.Equals, 7)
}

func TestBurnReport(t *testing.T) {
	c := qt.New(t)
	fleet, stoatctl := startFleet(c)
	fleet.counted = []api.KindCounts{{
		Kind: "booth-booking", Objective: 0.999, Total: burn.Counts{InTime: 998, Late: 2},
		Minutes: []burn.Minute{{Unix: burn.MinuteOf(burnTime), Counts: burn.Counts{InTime: 98, Late: 2}}},
	}}
	status, out, notes := stoatctl("report", "burn")
	c.Assert(status, qt.Equals, StatusDone, qt.Commentf("%s", notes))
	c.Check(out, qt.Matches, `(?s).*booth-booking +99.90% +99.80% +1000 +2 +0 +0 +0 +200.00% +20.0 +20.0 +20.0 +20.0\* +burning\n.*`)
	c.Check(out, qt.Contains, "These live routers did not answer")
	page := filepath.Join(t.TempDir(), "burn.html")
	status, out, _ = stoatctl("report", "burn", "--json", "--html", page)
	c.Assert(status, qt.Equals, StatusDone)
	c.Check(json.Valid([]byte(out)), qt.IsTrue)
	_, err := os.Stat(page)
	c.Check(err, qt.IsNil)
}
