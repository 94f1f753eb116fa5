//go:build process

package process

import (
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Numbers of requests of every kind that are served between two steps.
const (
	before = 10
	after  = 20
)

func TestKilledRouterIsReplaced(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 3, fleetOptions{})
	f.startLoad(c)
	f.awaitServed(c, before)
	f.routers[0].kill(c)
	f.site.Hosts.Remove(f.routers[0].settings.Host.Name)
	f.awaitServed(c, after)
	f.site.Hosts.Put(f.routers[0].listed())
	f.routers[0].start(c)
	f.awaitReady(c, f.routers[0])
	f.awaitServed(c, after)
	f.finish(c)
}

func TestPausedRouterDoesNoHarm(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 3, fleetOptions{})
	f.startLoad(c)
	f.awaitServed(c, before)
	f.routers[1].signal(c, syscall.SIGSTOP)
	f.awaitServed(c, after)
	f.routers[1].signal(c, syscall.SIGCONT)
	f.awaitServed(c, after)
	f.finish(c)
}

func TestShutdownUnderLoadCutsNothingOff(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 3, fleetOptions{})
	f.startLoad(c)
	f.awaitServed(c, before)
	f.routers[2].signal(c, syscall.SIGTERM)
	f.awaitServed(c, after)
	f.routers[2].awaitExit(c)
	f.awaitServed(c, before)
	result := f.finish(c)
	total := result.Total()
	c.Check(total.Cut, qt.Equals, 0)
	c.Check(total.Lost, qt.Equals, 0)
	c.Check(total.Unsent, qt.Equals, 0)
	c.Check(total.Unknown, qt.Equals, 0)
}

func TestSilentEndpointConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 2, fleetOptions{relayEndpoints: true})
	f.startLoad(c)
	f.awaitServed(c, before)
	for _, r := range f.relays {
		r.Blackhole()
	}
	f.awaitServed(c, after)
	f.finish(c)
}

func TestSilentPeerAndLogConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 3, fleetOptions{relayPeers: true, relayLog: true})
	f.startLoad(c)
	f.awaitServed(c, before)
	for _, r := range f.relays {
		r.Blackhole()
	}
	f.awaitServed(c, after)
	f.finish(c)
}
