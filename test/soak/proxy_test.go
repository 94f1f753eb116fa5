//go:build process

package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	forward     mode = iota
	blackhole        // bytes are discarded, connections stay open
	dropReplies      // bytes from the target are discarded
	reset            // connections are reset, including new ones
	delay            // each chunk is delayed
)

const chunkDelay = 60 * time.Millisecond

// proxy forwards connections to an address and can inject network faults.
type proxy struct {
	addr     string
	target   string
	listener net.Listener

	mu     sync.Mutex
	mode   mode
	closed bool
	conns  map[net.Conn]bool
	silent map[net.Conn]bool // connections of before the target fell silent
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]bool), silent: make(map[net.Conn]bool)}
	go p.serve(l)
	return p, nil
}

// crash resets all connections and refuses new ones for a time.
func (p *proxy) crash(down time.Duration) {
	p.mu.Lock()
	_ = p.listener.Close()
	for c := range p.conns {
		resetConn(c)
	}
	p.mu.Unlock()
	p.reopenAfter(down)
}

// fallSilent keeps all connections open without another byte and refuses new ones for a time.
func (p *proxy) fallSilent(down time.Duration) {
	p.mu.Lock()
	_ = p.listener.Close()
	for c := range p.conns {
		p.silent[c] = true
	}
	p.mu.Unlock()
	p.reopenAfter(down)
}

func (p *proxy) reopenAfter(down time.Duration) {
	time.AfterFunc(down, func() {
		for range 100 { // the address may be taken for a moment
			l, err := net.Listen("tcp", p.addr)
			if err == nil && p.reopen(l) {
				p.serve(l)
			}
			if err == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// reopen replaces the listener unless the proxy was closed.
func (p *proxy) reopen(l net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = l.Close()
		return false
	}
	p.listener = l
	return true
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.setMode(reset)
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == reset {
			resetConn(c)
			continue
		}
		go p.forwardBoth(c)
	}
}

func (p *proxy) forwardBoth(c net.Conn) {
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); p.copy(d, c, false) }()
	go func() { defer group.Done(); p.copy(c, d, true) }()
	group.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	delete(p.silent, c)
	delete(p.silent, d)
	p.mu.Unlock()
	_, _ = c.Close(), d.Close()
}

// copy forwards bytes. Once bytes were discarded, this direction stays blackholed, as after a lost conntrack entry.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch m := p.currentMode(); {
		case m == blackhole, m == dropReplies && back, p.isSilent(from):
			lost = true
		case m == delay:
			time.Sleep(chunkDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if lost {
				return
			}
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite()
			} else {
				resetConn(to)
			}
			return
		}
	}
}
