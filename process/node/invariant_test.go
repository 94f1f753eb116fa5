package node_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/node"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/version/config"
)

// waitTimeout bounds waits for a condition.
const waitTimeout = time.Minute

func startFleet(c *qt.C) *fleet.Fleet { return startRouters(c, 1) }

func startRouters(c *qt.C, routers int) *fleet.Fleet {
	second := config.Duration(time.Second)
	cfg := config.Config{
		Zones:  []config.Zone{{Name: "z", Region: "r"}},
		Models: []config.Model{{Name: "m", Version: "1", PrefillPerSecond: 100_000}},
		Endpoints: []config.Endpoint{
			{Name: "e", Zone: "z", Model: "m", Capacity: 8, ColdCapacity: 8, WarmAfter: 1, CacheTokens: 1000},
		},
		Kinds: []config.Kind{{Name: "chat", Model: "m", Worth: 1, FullUntil: second, Deadline: 60 * second,
			FirstByte: 30 * second, BetweenBytes: 30 * second, Objective: 0.9}},
		Workspaces: []config.Workspace{{Name: "w", Share: 1, KeyHash: strings.Repeat("0", 64)}},
		Limits: config.Limits{MeanMultiple: 1.25, LoadLag: second, LedgerWindow: 3600 * second, LedgerShards: 1,
			CrashLimit: 3, RetryShare: 0.1, AddressTTL: second, WeightLoadsPerMinute: 10},
	}
	f, err := fleet.Start(fleet.Options{Config: cfg, Routers: routers, Log: logr.Discard(),
		Site: testbed.Options{Engine: engine.Options{TokenTime: 5 * time.Millisecond}}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	c.Cleanup(cancel)
	c.Assert(f.Push(ctx), qt.IsNil)
	return f
}

func sendChat(f *fleet.Fleet, tokens string) (*http.Response, error) {
	body := `{"messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":` + tokens + `}`
	request, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddresses()[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(caller.HeaderWorkspace, "w")
	request.Header.Set(caller.HeaderKind, "chat")
	return http.DefaultClient.Do(request)
}

func waitFor(c *qt.C, what string, holds func() bool) {
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting for %s", what)
		}
	}
}

// runWhileOutOfService takes the endpoint of a granted request out of service before
// the final check, which allows the request if broken. It returns the router.
func runWhileOutOfService(c *qt.C, broken bool) *node.Node {
	f := startFleet(c)
	router := f.Routers[0].Node
	operator, err := f.Operator("test")
	c.Assert(err, qt.IsNil)
	target := config.Target{Scope: config.ScopeEndpoint, Name: "e"}
	node.BeforeFinalCheck(router, broken, func() {
		_, err := operator.Mark(context.Background(), api.Mark{Target: target, Out: true})
		c.Check(err, qt.IsNil)
		time.Sleep(2 * node.AuditGrace) // the configuration must be older than AuditGrace
	})
	response, err := sendChat(f, "2")
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode == http.StatusOK, qt.Equals, broken)
	c.Assert(response.Body.Close(), qt.IsNil)
	return router
}

func TestNoDispatchToOutOfServiceEndpoint(t *testing.T) {
	c := qt.New(t)
	c.Check(runWhileOutOfService(c, false).Checker().Total(), qt.Equals, int64(0))
}

func TestInvariantDetectsBrokenFinalCheck(t *testing.T) {
	c := qt.New(t)
	c.Check(runWhileOutOfService(c, true).Checker().Count(invariant.NoDispatchToOutOfService), qt.Equals, int64(1))
}

func TestInvariantDetectsDispatchToDrainingEndpoint(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	router := f.Routers[0].Node
	node.BeforeFinalCheck(router, true, func() {
		f.Site.Endpoint("e").Engine.StartDrain()
		waitFor(c, "the draining report", func() bool { return node.DrainingFor(router, "e") > 4*time.Second })
	})
	response, err := sendChat(f, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Check(router.Checker().Count(invariant.NoDispatchToDraining), qt.Equals, int64(1))
}

func TestInvariantDetectsShutdownWithoutWait(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	router := f.Routers[0].Node
	response, err := sendChat(f, "10000")
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	router.Shutdown(ctx)
	c.Check(router.Checker().Count(invariant.NoRequestCutOff), qt.Equals, int64(1))
}
