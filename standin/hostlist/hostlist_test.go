package hostlist_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/hostlist"
)

var _ platformclient.HostList = (*hostlist.Memory)(nil)

func TestChangesAreVisibleAfterTheLag(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	m := hostlist.NewMemory(hostlist.Options{Clock: clock, Lag: 2 * time.Second}, platformclient.ListedHost{Name: "a"})
	names := func() string {
		hosts, err := m.Hosts(context.Background())
		c.Assert(err, qt.IsNil)
		var all string
		for _, h := range hosts {
			all += h.Name
		}
		return all
	}
	m.Put(platformclient.ListedHost{Name: "b"})
	c.Check(names(), qt.Equals, "a")
	clock.Advance(time.Second)
	m.Remove("a")
	clock.Advance(time.Second)
	c.Check(names(), qt.Equals, "ab")
	clock.Advance(time.Second)
	c.Check(names(), qt.Equals, "b")
}

func TestServerListsHostsAndFails(t *testing.T) {
	c := qt.New(t)
	s, err := hostlist.Start("", hostlist.Options{}, platformclient.ListedHost{Name: "a", Draining: true})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	resp, err := http.Get(s.URL() + hostlist.PathHosts)
	c.Assert(err, qt.IsNil)
	var hosts []platformclient.ListedHost
	c.Assert(json.NewDecoder(resp.Body).Decode(&hosts), qt.IsNil)
	c.Check(hosts, qt.HasLen, 1)
	c.Check(hosts[0].Draining, qt.IsTrue)
	c.Check(resp.Body.Close(), qt.IsNil)
	c.Assert(s.Faults().On(fault.Fault{Name: fault.Outage}), qt.IsNil)
	resp, err = http.Get(s.URL() + hostlist.PathHosts)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Body.Close(), qt.IsNil)
}
