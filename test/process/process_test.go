//go:build process

package process

import (
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Requests of every kind that must be served before and after a fault.
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
	f.testbed.Hosts.Remove(f.routers[0].settings.Host.Name)
	f.awaitServed(c, after)
	f.testbed.Hosts.Put(f.routers[0].listedHost())
	f.routers[0].start(c)
	f.awaitReady(c, f.routers[0])
	f.awaitServed(c, after)
	f.finish(c)
}

func TestPausedRouterViolatesNoGuarantee(t *testing.T) {
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

func TestShutdownUnderLoadLosesNoRequest(t *testing.T) {
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
	c.Check(total.Interrupted, qt.Equals, 0)
	c.Check(total.Lost, qt.Equals, 0)
	c.Check(total.Unsent, qt.Equals, 0)
	c.Check(total.Unknown, qt.Equals, 0)
}

func TestBlackholedEndpointConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 2, fleetOptions{proxyEndpoints: true})
	f.startLoad(c)
	f.awaitServed(c, before)
	for _, p := range f.proxies {
		p.Blackhole()
	}
	f.awaitServed(c, after)
	f.finish(c)
}

func TestBlackholedPeerAndLogConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 3, fleetOptions{proxyPeers: true, proxyLog: true})
	f.startLoad(c)
	f.awaitServed(c, before)
	for _, p := range f.proxies {
		p.Blackhole()
	}
	f.awaitServed(c, after)
	f.finish(c)
}

// Guards against a process that ends at once, with what it has in progress, because of a SIGHUP.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	t.Parallel()
	c, f := startFleet(t, 3, fleetOptions{})
	f.startLoad(c)
	f.awaitServed(c, before)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		f.routers[2].signal(c, s)
	}
	f.routers[2].awaitExit(c)
	f.awaitServed(c, before)
	result := f.finish(c)
	total := result.Total()
	c.Check(total.Interrupted, qt.Equals, 0)
}
