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

// Direction is a way through the relay.
type Direction int

// The directions, as seen by the client that connects to the relay.
const (
	Up   Direction = iota // from the client to the target
	Down                  // from the target to the client
)

// dialTimeout bounds a connection attempt to the target.
const dialTimeout = 10 * time.Second

// Record is what really happened at the relay.
type Record struct {
	Accepted int // connections since start
	Open     int // connections now, silent ones included
}

// Proxy passes TCP connections on to a target. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	delay    atomic.Int64 // nanoseconds that bytes take
	refuse   atomic.Bool
	wg       conc.WaitGroup

	mu       sync.Mutex
	closed   bool
	links    map[*link]struct{}
	accepted int
}

// link is one relayed connection.
type link struct {
	client, server net.Conn
	dropped        [2]atomic.Bool // by Direction: bytes vanish
	ended          atomic.Int32   // directions that have ended
}

// Start listens on a free loopback port for connections to target.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Proxy{target: target, listener: listener, links: make(map[*link]struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address to connect to.
func (r *Proxy) Addr() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close cuts all connections and stops the relay.
func (r *Proxy) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Cut()
	r.wg.Wait()
}

// Blackhole makes the bytes of all connections that are open now vanish in
// both directions. The connections stay open; new ones work.
func (r *Proxy) Blackhole() {
	r.BlackholeOneWay(Up)
	r.BlackholeOneWay(Down)
}

// BlackholeOneWay is Blackhole in one direction only.
func (r *Proxy) BlackholeOneWay(direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.dropped[direction].Store(true)
	}
}

// Cut closes all connections that are open now.
func (r *Proxy) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Refuse makes the relay close new connections at once, or end that.
func (r *Proxy) Refuse(refuse bool) {
	r.refuse.Store(refuse)
}

// SetDelay makes bytes take the time d each way.
func (r *Proxy) SetDelay(d time.Duration) {
	r.delay.Store(int64(d))
}

// Record returns what really happened so far.
func (r *Proxy) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Record{Accepted: r.accepted, Open: len(r.links)}
}

func (r *Proxy) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.refuse.Load() {
			_ = client.Close()
			continue
		}
		r.wg.Go(func() { r.connect(client) })
	}
}

func (r *Proxy) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	if !r.add(l) {
		l.close()
		return
	}
	r.wg.Go(func() { r.pump(l, Up, client, server) })
	r.pump(l, Down, server, client)
}

func (r *Proxy) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[l] = struct{}{}
	r.accepted++
	return true
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}

// end counts a direction that has ended. A link whose bytes vanish does not
// tell either end of the other's closing.
func (r *Proxy) end(l *link, direction Direction) {
	silent := l.dropped[direction].Load()
	if l.ended.Add(1) < 2 && silent {
		return
	}
	l.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}
