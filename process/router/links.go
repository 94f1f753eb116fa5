package router

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/process/links"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	// probeTimeout bounds a connection that is opened to find out whether an endpoint is reached.
	probeTimeout = 250 * time.Millisecond
	// firstProbeInterval and laterProbeInterval are the pauses between probes of the endpoints of
	// a lost service; the former for firstProbesTime.
	firstProbeInterval = 150 * time.Millisecond
	laterProbeInterval = 500 * time.Millisecond
	firstProbesTime    = time.Second
	// maxProbedEndpoints bounds the endpoints of a probe.
	maxProbedEndpoints = 12
)

// endpointLinks implements forward.Links.
type endpointLinks struct {
	r     *Router
	table *links.Table

	mu     sync.Mutex // guards relays; leaf
	relays map[string]int
}

func newEndpointLinks(r *Router) *endpointLinks {
	return &endpointLinks{r: r, table: links.New(), relays: make(map[string]int)}
}

// Failed implements forward.Links.
func (l *endpointLinks) Failed(now time.Time, g *balance.Grant) {
	l.failed(now, g.Service, g.ID)
}

func (l *endpointLinks) failed(now time.Time, service, endpoint string) {
	c, lost := l.table.Failed(now, service, endpoint, len(l.r.endpoints.Addresses(service)))
	if !lost {
		return
	}
	l.report(c)
	go l.probe(service) // not in the group, which may be waited for already; ends with the context
}

// Connected implements forward.Links.
func (l *endpointLinks) Connected(now time.Time, g *balance.Grant) {
	carryOut(l.table.Connects(now, g.Service))
}

// Proved implements forward.Links.
func (l *endpointLinks) Proved(now time.Time, g *balance.Grant) {
	conclusions, c, changed := l.table.Proved(now, g.Service)
	if !changed {
		return
	}
	if c.OwnFault {
		l.r.endpoints.ForgetUnreachable(g.Service, now.Add(-c.After))
	}
	carryOut(conclusions)
	l.report(c)
}

func carryOut(conclusions []func()) {
	for _, conclude := range conclusions {
		conclude()
	}
}

// report logs a change and tells the other routers.
func (l *endpointLinks) report(c links.Change) {
	l.r.log.Info("links to endpoints changed", "service", c.Service, "lost", c.Lost, "own_fault", c.OwnFault, "after_ms", c.After.Milliseconds())
	l.r.sendNow()
}

// Conclude implements forward.Links.
func (l *endpointLinks) Conclude(ctx context.Context, g *balance.Grant, conclusion func()) {
	if l.table.Conclude(g.Service, conclusion) {
		return
	}
	for id, addr := range l.r.endpoints.Addresses(g.Service) {
		if id == g.ID {
			continue
		}
		if l.connects(ctx, addr) {
			conclusion()
			return
		}
		l.failed(time.Now(), g.Service, id)
		break
	}
	l.failed(time.Now(), g.Service, g.ID)
	if !l.table.Conclude(g.Service, conclusion) {
		conclusion() // the service has responded meanwhile
	}
}

// connects reports whether an endpoint accepts a connection, which the pool keeps.
func (l *endpointLinks) connects(ctx context.Context, addr string) bool {
	conn, err := l.r.pool.Dial(ctx, addr, probeTimeout)
	if err != nil {
		return false
	}
	l.r.pool.Put(conn, time.Now(), 0, 1)
	return true
}

// probe opens connections to the endpoints of a lost service until it responds.
func (l *endpointLinks) probe(service string) {
	addrs := l.r.endpoints.Addresses(service)
	for _, addr := range addrs {
		l.r.pool.CloseIdle(addr) // a request on them would get no response
	}
	lostAt := time.Now()
	for l.table.IsLost(service) && l.r.ctx.Err() == nil {
		began := time.Now()
		if !l.table.NeedsProbe(service) {
			// Requests prove the links now.
		} else if l.probeOnce(service) {
			carryOut(l.table.Connects(time.Now(), service))
		} else if c, ownFault := l.table.ProbeFailed(began, service); ownFault {
			l.report(c)
		}
		pause := laterProbeInterval
		if time.Since(lostAt) < firstProbesTime {
			pause = firstProbeInterval
		}
		select {
		case <-l.r.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// probeOnce reports whether some endpoint of a service accepts a connection.
func (l *endpointLinks) probeOnce(service string) bool {
	ctx, cancel := context.WithTimeout(l.r.ctx, probeTimeout)
	defer cancel()
	addrs := l.r.endpoints.Addresses(service)
	results := make(chan bool, len(addrs))
	probed := 0
	for _, addr := range addrs { // in random order
		if probed++; probed > maxProbedEndpoints {
			probed--
			break
		}
		go func() { results <- l.connects(ctx, addr) }()
	}
	for range probed {
		if <-results {
			return true
		}
	}
	return false
}

// UseRelay implements forward.Links.
func (l *endpointLinks) UseRelay(now time.Time, service string, repeatable bool) bool {
	return l.table.UseRelay(now, service, repeatable)
}

// AcquireRelay implements forward.Links. Of the routers that reach the service it takes the one with the
// fewest requests that this router passed on, in the own zone if there are several.
func (l *endpointLinks) AcquireRelay(now time.Time, service string, exclude []string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *peers.RelayRouter
	list := l.r.peers.Relays(now, service)
	for i := range list {
		if !slices.Contains(exclude, list[i].Addr) && (best == nil || l.precedes(&list[i], best)) {
			best = &list[i]
		}
	}
	if best == nil {
		return "", false
	}
	l.relays[best.Addr]++
	return best.Addr, true
}

// precedes reports whether a gets a request rather than b. Routers of different names order
// those that are alike differently, so that several without links do not all choose the same.
func (l *endpointLinks) precedes(a, b *peers.RelayRouter) bool {
	if l.relays[a.Addr] != l.relays[b.Addr] {
		return l.relays[a.Addr] < l.relays[b.Addr]
	}
	if local := a.Zone == l.r.s.Zone; local != (b.Zone == l.r.s.Zone) {
		return local
	}
	seed := xxhash.Sum64String(l.r.s.Name)
	return balance.RendezvousWeight(seed, a.Addr) > balance.RendezvousWeight(seed, b.Addr)
}

// ReleaseRelay implements forward.Links.
func (l *endpointLinks) ReleaseRelay(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.relays[addr]--; l.relays[addr] <= 0 {
		delete(l.relays, addr)
	}
}

// RelayedConnections returns the number of open connections of other routers, and of those
// with a request.
func (r *Router) RelayedConnections() (open, busy int) { return r.relayed.ConnectionCounts() }

// routerListener accepts connections from the hosts of known routers only.
type routerListener struct {
	net.Listener
	known func(host string) bool
}

// Accept implements net.Listener.
func (l routerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil && l.known(host) {
			return conn, nil
		}
		_ = conn.Close() // it is not told why
	}
}
