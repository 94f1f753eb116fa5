package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Direction is a direction through the proxy.
type Direction int

// The directions, as seen by the connecting client.
const (
	Up   Direction = iota // from the client to the target
	Down                  // from the target to the client
)

// dialTimeout bounds a connection attempt to the target.
const dialTimeout = 10 * time.Second

// Stats counts the connections of a proxy.
type Stats struct {
	Accepted int // connections since start
	Open     int // open connections, including blackholed ones
}

// Proxy forwards TCP connections to a target. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	delay    atomic.Int64 // of bytes, in nanoseconds
	refuse   atomic.Bool
	wg       conc.WaitGroup

	mu       sync.Mutex
	closed   bool
	conns    map[*proxiedConn]struct{}
	accepted int
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	client, server net.Conn
	blackholed     [2]atomic.Bool // by Direction: bytes are discarded
	ended          atomic.Int32   // directions that have ended
}

// Start listens on a free loopback port for connections to target.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*proxiedConn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes all connections and stops the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Cut()
	p.wg.Wait()
}

// Blackhole discards the bytes of all open connections in both directions. The
// connections stay open; new connections work.
func (p *Proxy) Blackhole() {
	p.BlackholeOneWay(Up)
	p.BlackholeOneWay(Down)
}

// BlackholeOneWay is Blackhole in one direction.
func (p *Proxy) BlackholeOneWay(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.blackholed[direction].Store(true)
	}
}

// Cut closes all open connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.close()
	}
}

// Refuse sets whether new connections are closed at once.
func (p *Proxy) Refuse(refuse bool) {
	p.refuse.Store(refuse)
}

// SetDelay delays bytes by d in each direction.
func (p *Proxy) SetDelay(d time.Duration) {
	p.delay.Store(int64(d))
}

// Stats returns the counts so far.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Accepted: p.accepted, Open: len(p.conns)}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = client.Close()
			continue
		}
		p.wg.Go(func() { p.connect(client) })
	}
}

func (p *Proxy) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, server: server}
	if !p.add(conn) {
		conn.close()
		return
	}
	p.wg.Go(func() { p.forward(conn, Up, client, server) })
	p.forward(conn, Down, server, client)
}

func (p *Proxy) add(conn *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[conn] = struct{}{}
	p.accepted++
	return true
}

func (conn *proxiedConn) close() {
	_ = conn.client.Close()
	_ = conn.server.Close()
}

// end counts a direction that has ended. A blackholed connection does not pass
// on that the other side closed.
func (p *Proxy) end(conn *proxiedConn, direction Direction) {
	blackholed := conn.blackholed[direction].Load()
	if conn.ended.Add(1) < 2 && blackholed {
		return
	}
	conn.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}
