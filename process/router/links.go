package router

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/connection/http1"
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
	// maxProbedEndpoints bounds the endpoints of a probe, and maxConfirmingEndpoints those that
	// show that the links work when an endpoint is to be blamed.
	maxProbedEndpoints     = 12
	maxConfirmingEndpoints = 4
)

// endpointLinks implements forward.Links.
type endpointLinks struct {
	r        *Router
	table    *links.Table
	onStatus func(addr string, head *http1.Head) // called with the response to a status check; may be nil

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

// Late implements forward.Links.
func (l *endpointLinks) Late(now time.Time, g *balance.Grant) {
	if l.table.Late(now, g.Service, g.ID, len(l.r.endpoints.Addresses(g.Service))) {
		go l.endDoubt(g.Service)
	}
}

func (l *endpointLinks) failed(now time.Time, service, endpoint string) {
	if l.table.Failed(now, service, endpoint, len(l.r.endpoints.Addresses(service))) {
		go l.endDoubt(service) // not in the group, which may be waited for already; ends with the context
	}
}

// endDoubt finds out whether a service is lost, and probes it if so.
func (l *endpointLinks) endDoubt(service string) {
	p := l.open(l.r.ctx, service, maxProbedEndpoints, "")
	if p.Reached() {
		p.Responding = l.checkStatus(l.r.ctx, service, p.Accepting)
	}
	conclusions, c, lost := l.table.EndDoubt(service, p)
	carryOut(conclusions)
	if lost {
		l.report(c)
		l.probe(service)
	}
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
	others := l.open(ctx, g.Service, maxConfirmingEndpoints, g.ID)
	switch {
	case others.Reached():
		conclusion()
		return
	case l.r.ctx.Err() != nil:
		return
	case ctx.Err() != nil: // the request ended, which says nothing about the endpoints
		go l.Conclude(l.r.ctx, g, conclusion)
		return
	}
	for _, id := range append(others.Failing, g.ID) {
		l.failed(time.Now(), g.Service, id)
	}
	if !l.table.Conclude(g.Service, conclusion) {
		conclusion() // the endpoints have accepted connections meanwhile
	}
	select {
	case <-l.table.Settled(g.Service): // the request may then go on through another router
	case <-ctx.Done():
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
	for _, addr := range l.r.endpoints.Addresses(service) {
		l.r.pool.CloseIdle(addr) // a request on them would get no response
	}
	lostAt := time.Now()
	for l.table.IsLost(service) && l.r.ctx.Err() == nil {
		if l.table.NeedsProbe(service) { // otherwise requests prove the links
			conclusions, c, ownFault := l.table.Probed(service, l.open(l.r.ctx, service, maxProbedEndpoints, ""))
			carryOut(conclusions)
			if ownFault {
				l.report(c)
			}
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

// open opens a connection to each of up to limit endpoints of a service without exclude, first
// to those that have not failed, otherwise in random order.
func (l *endpointLinks) open(ctx context.Context, service string, limit int, exclude string) links.Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	addrs := l.r.endpoints.Addresses(service)
	var ids, failed []string
	for id := range addrs { // in random order
		switch {
		case id == exclude:
		case l.table.HasFailed(service, id):
			failed = append(failed, id)
		default:
			ids = append(ids, id)
		}
	}
	ids = append(ids, failed...)
	ids = ids[:min(len(ids), limit)]
	p := links.Probe{Began: time.Now()}
	accepts := make([]bool, len(ids))
	var group sync.WaitGroup
	for i, id := range ids {
		group.Go(func() { accepts[i] = l.connects(ctx, addrs[id]) })
	}
	group.Wait()
	for i, id := range ids {
		if accepts[i] {
			p.Accepting = append(p.Accepting, id)
		} else {
			p.Failing = append(p.Failing, id)
		}
	}
	return p
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

// routerListener accepts connections from the hosts of known routers, and passes others on to unknown.
type routerListener struct {
	net.Listener
	known   func(host string) bool
	unknown func(net.Conn)
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
		l.unknown(conn)
	}
}
