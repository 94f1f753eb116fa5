package trial

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/version/config"
)

// After a configuration is pushed, routers reach the stand-ins at the addresses of
// the questionnaire, and callers are served and counted.
func TestPushedConfigurationServesCallers(t *testing.T) {
	c := qt.New(t)
	pid := os.Getpid() // runs of the test beside one another have addresses of their own
	host := netip.AddrFrom4([4]byte{127, 99 + byte(pid>>16), byte(pid >> 8), byte(pid)})
	address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	s := settings.Default()
	s.Host = settings.Host{Name: "entry-1", Zone: "a", Region: "r"}
	s.Listen = settings.Listen{Caller: address(18080), Peer: address(18081), Operator: address(18082)}
	s.Platform = settings.Platform{Log: address(19001), Hosts: address(19002), Weights: address(19003)}
	s.Access.OpenOnLoopback = true
	cfg := config.Config{
		Zones:     []config.Zone{{Name: "a", Region: "r"}},
		Services:  []config.Service{{Name: "booking"}},
		Endpoints: []config.Endpoint{{Name: "b-1", Address: address(18001), Zone: "a", Service: "booking", Capacity: 8, ColdCapacity: 8, WarmAfter: 1}},
		Kinds: []config.Kind{{
			Name: "read", Service: "booking", Worth: 1, FullUntil: config.Duration(time.Second), Deadline: config.Duration(10 * time.Second),
			FirstByte: config.Duration(5 * time.Second), BetweenBytes: config.Duration(5 * time.Second), Objective: 0.9,
		}},
		Workspaces: []config.Workspace{{Name: "w", Share: 1}},
		Limits: config.Limits{
			MeanMultiple: 1.25, LedgerWindow: config.Duration(time.Minute), LedgerShards: 1, CrashLimit: 2, RetryShare: 0.1,
			LoadLag: config.Duration(500 * time.Millisecond), AddressTTL: config.Duration(time.Second), WeightLoadsPerMinute: 6,
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	operator, err := client.New(client.Options{Routers: []string{s.Listen.Operator.String()}, Author: "test"})
	c.Assert(err, qt.IsNil)
	served := false
	var vars map[string]json.RawMessage
	var watching conc.WaitGroup
	err = Run(ctx, Options{Config: cfg, Settings: []settings.Settings{s}, Log: logr.Discard(), Seed: 1, PerSecond: 10}, func() {
		watching.Go(func() {
			defer cancel()
			for ctx.Err() == nil {
				// Refused until the router has read the log.
				_, _ = operator.Push(ctx, api.Push{Config: cfg})
				if counted, err := operator.Burn(ctx); err == nil && len(counted.Kinds) > 0 && counted.Kinds[0].Total.InTime > 3 {
					served = true
					vars = metrics(ctx, s.Listen.Operator)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	})
	c.Assert(err, qt.IsNil)
	watching.Wait()
	c.Check(served, qt.IsTrue)
	checkMetricsDocument(c, vars)
}

func metrics(ctx context.Context, address netip.AddrPort) map[string]json.RawMessage {
	var vars map[string]json.RawMessage
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+api.PathVars, nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&vars)
	return vars
}

// checkMetricsDocument compares docs/METRICS.md with a running router.
func checkMetricsDocument(c *qt.C, vars map[string]json.RawMessage) {
	text, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	documented := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `(stoatmount[a-z_.]+)` \\|").FindAllStringSubmatch(string(text), -1) {
		documented[row[1]] = true
		c.Check(vars[row[1]], qt.IsNotNil, qt.Commentf("%s is documented but does not exist", row[1]))
	}
	for name := range vars {
		c.Check(documented[name], qt.IsTrue, qt.Commentf("%s is not documented", name))
	}
}
