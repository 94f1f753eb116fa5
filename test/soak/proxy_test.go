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

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
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

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
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
		case m == blackhole, m == dropReplies && back:
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
