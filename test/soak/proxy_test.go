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
	resets           // connections are reset, including new ones
	delays           // each chunk is delayed
)

const delay = 60 * time.Millisecond

// proxy forwards connections to an address and can inject network faults.
type proxy struct {
	addr   string
	target string
	l      net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, l: l, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.set(resets)
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resets {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.now() == resets {
			reset(c)
			continue
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
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
	p.mu.Unlock()
	_, _ = c.Close(), d.Close()
}

// copy forwards bytes. Once bytes were discarded the connection stays blackholed,
// as after a lost entry in a connection tracking table.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch m := p.now(); {
		case m == blackhole, m == dropReplies && back:
			lost = true
		case m == delays:
			time.Sleep(delay)
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
				reset(to)
			}
			return
		}
	}
}
