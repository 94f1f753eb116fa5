//go:build process

package process

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/lab/load"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/faultproxy"
	"github.com/stoatmount/stoatmount/standin/hostlist"
	"github.com/stoatmount/stoatmount/standin/service"
	"github.com/stoatmount/stoatmount/version/config"
)

// waitLimit bounds every wait for a condition. It does not affect passing runs.
const waitLimit = 2 * time.Minute

// Names in the configuration of the tests.
const (
	kindChat    = "chat"
	kindBooking = "booking"
	kindTag     = "tag"
)

// fleet is a set of router processes with their stand-ins and callers.
type fleet struct {
	testbed *testbed.Testbed
	routers []*router
	proxies map[string]*faultproxy.Proxy // by the name of the host or endpoint behind it
	load    *load.Generator
	stop    context.CancelFunc
	result  chan load.Result
}

// fleetOptions selects the connections that go through fault proxies.
type fleetOptions struct {
	proxyEndpoints bool
	proxyPeers     bool
	proxyLog       bool
}

// testConfig is a deployment of two zones: four engines and three services.
func testConfig() config.Config {
	cfg := config.Config{
		Zones:      []config.Zone{{Name: "a", Region: "r1"}, {Name: "b", Region: "r1"}},
		Models:     []config.Model{{Name: "model", Version: "1", PrefillPerSecond: 100000, MovePerSecond: 100000}},
		Services:   []config.Service{{Name: "booking"}},
		Workspaces: []config.Workspace{{Name: "w1", Share: 1}, {Name: "w2", Share: 1}},
		Kinds: []config.Kind{
			testKind(config.Kind{Name: kindChat, Model: "model", Worth: 5}),
			testKind(config.Kind{Name: kindBooking, Service: "booking", Worth: 10, NonIdempotent: true, KeyRequired: true}),
			testKind(config.Kind{Name: kindTag, Model: "model", Worth: 1, CanWait: true}),
		},
		Limits: config.Limits{
			MeanMultiple: 1.25, LoadLag: config.Duration(time.Second),
			LedgerWindow: config.Duration(10 * time.Minute), LedgerShards: 2, CrashLimit: 3,
			RetryShare: 0.2, AddressTTL: config.Duration(2 * time.Second), WeightLoadsPerMinute: 60,
		},
	}
	for i := range 4 {
		cfg.Endpoints = append(cfg.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Zone: cfg.Zones[i%2].Name, Model: "model",
			Capacity: 16, ColdCapacity: 4, WarmAfter: 20, CacheTokens: 100000,
		})
	}
	for i := range 3 {
		cfg.Endpoints = append(cfg.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("service-%d", i), Zone: cfg.Zones[i%2].Name, Service: "booking",
			Capacity: 16, ColdCapacity: 16,
		})
	}
	return cfg
}

// testKind sets time limits that a kind meets even on a busy machine, and its objective.
func testKind(k config.Kind) config.Kind {
	k.FullUntil = config.Duration(10 * time.Second)
	k.Deadline = config.Duration(30 * time.Second)
	k.FirstByte = config.Duration(3 * time.Second)
	k.BetweenBytes = config.Duration(2 * time.Second)
	k.Objective = 0.99
	return k
}

// startFleet starts stand-ins and routers, pushes the configuration and waits
// until every router is ready.
func startFleet(t *testing.T, routers int, options fleetOptions) (*qt.C, *fleet) {
	c := qt.New(t)
	tb, err := testbed.Start(testConfig(), testbed.Options{
		Engine: engine.Options{
			TokenTime: 5 * time.Millisecond, ResumeGrace: 5 * time.Second,
			KeepFinished: 10 * time.Second, LoadLag: 100 * time.Millisecond,
		},
		Service: service.Options{Work: 20 * time.Millisecond},
		Hosts:   hostlist.Options{Lag: time.Second, Jitter: time.Second},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(tb.Close)
	f := &fleet{testbed: tb, proxies: make(map[string]*faultproxy.Proxy)}
	f.addRouters(c, routers, options)
	for _, r := range f.routers {
		r.start(c)
	}
	f.push(c, options)
	for _, r := range f.routers {
		f.awaitReady(c, r)
	}
	return c, f
}

func (f *fleet) addRouters(c *qt.C, n int, options fleetOptions) {
	where := settings.Platform{Log: f.testbed.Log.Addr(), Hosts: f.testbed.Hosts.Addr(), Weights: f.testbed.Weights.Addr()}
	if options.proxyLog {
		where.Log = f.addProxy(c, "log", where.Log)
	}
	hosts := make([]platformclient.ListedHost, n)
	for i := range n {
		zone := f.testbed.Config.Zones[i%len(f.testbed.Config.Zones)].Name
		r := newRouter(c, fmt.Sprintf("router-%d", i), zone, where)
		if options.proxyPeers {
			r.peer = f.addProxy(c, r.settings.Host.Name, r.settings.Listen.Peer)
		}
		f.routers = append(f.routers, r)
		hosts[i] = r.listedHost()
	}
	f.testbed.Hosts.Set(hosts...)
}

// addProxy puts a fault proxy in front of target and returns its address.
func (f *fleet) addProxy(c *qt.C, name string, target netip.AddrPort) netip.AddrPort {
	p, err := faultproxy.Start(target.String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	f.proxies[name] = p
	return p.Addr()
}

// push puts the configuration in force.
func (f *fleet) push(c *qt.C, options fleetOptions) {
	cfg := f.testbed.Config
	if options.proxyEndpoints {
		for i := range cfg.Endpoints {
			cfg.Endpoints[i].Address = f.addProxy(c, cfg.Endpoints[i].Name, cfg.Endpoints[i].Address)
		}
	}
	operators := f.operators(c)
	var last error
	f.await(c, "the configuration to be accepted", func() bool {
		_, last = operators.Push(context.Background(), api.Push{Config: cfg})
		if last == nil {
			return true
		}
		state, err := operators.Config(context.Background())
		return err == nil && state.Version > 0
	}, func() string { return fmt.Sprint(last) })
}

func (f *fleet) operators(c *qt.C) *client.Client {
	var addresses []string
	for _, r := range f.routers {
		addresses = append(addresses, r.settings.Listen.Operator.String())
	}
	operators, err := client.New(client.Options{Routers: addresses, Author: "test"})
	c.Assert(err, qt.IsNil)
	return operators
}

// await waits until condition holds.
func (f *fleet) await(c *qt.C, what string, condition func() bool, detail func() string) {
	limit := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(limit) {
			c.Fatalf("timed out waiting for %s: %s", what, detail())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) awaitReady(c *qt.C, r *router) {
	url := "http://" + r.settings.Listen.Caller.String() + "/readyz"
	status := 0
	f.await(c, r.settings.Host.Name+" to be ready", func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		status = resp.StatusCode
		return resp.Body.Close() == nil && status == http.StatusOK
	}, func() string { return fmt.Sprintf("status %d", status) })
}

// startLoad starts callers; finish stops them.
func (f *fleet) startLoad(c *qt.C) {
	var entries []string
	for _, r := range f.routers {
		entries = append(entries, r.settings.Listen.Caller.String())
	}
	generator, err := load.New(load.Options{
		Seed:       1,
		Entries:    entries,
		Workspaces: []load.Workspace{{Name: "w1"}, {Name: "w2"}},
		Kinds: []load.Kind{
			{Name: kindChat, PerSecond: 8, Turns: 3, PauseMin: 100 * time.Millisecond, PauseMax: time.Second, StreamShare: 0.7, PromptTokens: 50, ResponseTokens: 60, Deadline: 30 * time.Second},
			{Name: kindBooking, Service: "booking", Path: "/booths", Keyed: true, DuplicateShare: 0.2, PerSecond: 20, Deadline: 30 * time.Second},
			{Name: kindTag, PerSecond: 5, PromptTokens: 50, ResponseTokens: 10, Deadline: 30 * time.Second},
		},
	})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	f.load, f.stop, f.result = generator, stop, make(chan load.Result, 1)
	c.Cleanup(stop)
	go func() { f.result <- generator.Run(ctx) }()
}

// awaitServed waits until more requests of every kind have been served in time.
func (f *fleet) awaitServed(c *qt.C, more int) {
	before, since := f.load.Result(), time.Now()
	defer func() { c.Logf("%d more requests of every kind took %v", more, time.Since(since)) }()
	f.await(c, fmt.Sprintf("%d more requests of every kind", more), func() bool {
		now := f.load.Result()
		for i := range now.Kinds {
			if now.Kinds[i].InTime < before.Kinds[i].InTime+more {
				return false
			}
		}
		return true
	}, func() string {
		now := f.load.Result()
		return fmt.Sprintf("%+v", now.Kinds)
	})
}

// finish stops the callers and compares their responses with the executions.
func (f *fleet) finish(c *qt.C) load.Result {
	f.stop()
	result := <-f.result
	audit := load.NewAudit(&result, func(r *load.RequestRecord) int { return f.testbed.Executions(r.ID, r.Key) })
	for _, finding := range audit.Findings {
		c.Errorf("%s", finding)
	}
	c.Check(audit.Violations(), qt.Equals, 0)
	stats := f.testbed.Stats()
	c.Check(stats.RepeatedKeys, qt.Equals, 0)
	c.Check(stats.WorstColdOverrun, qt.Equals, 0)
	for _, kind := range result.Kinds {
		c.Logf("%+v", kind)
	}
	c.Logf("%+v", stats)
	logUnserved(c, &result)
	return result
}

// logUnserved logs the first requests that were not served in time or whose connection failed.
func logUnserved(c *qt.C, result *load.Result) {
	const maxLogged = 10
	logged := 0
	for i := range result.Requests {
		r := &result.Requests[i]
		failed := r.Unsent + r.Lost + r.Interrupted
		if r.Verdict == load.InTime && failed == 0 || logged == maxLogged {
			continue
		}
		logged++
		c.Logf("%s %s: %s after %v and %d attempts: %s",
			r.Kind, r.ID, r.Verdict, r.Duration, r.Attempts, strings.Join(r.AttemptResults, "; "))
	}
}
