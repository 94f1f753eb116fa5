package http1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// keepAliveProbe is the idle time after which TCP sends keep-alive probes, and
	// the interval between them.
	keepAliveProbe  = time.Second
	keepAliveProbes = 3
	// idleTimeoutMargin is subtracted from the other end's idle timeout, so that no
	// request is sent on a connection that it is about to close.
	idleTimeoutMargin = 800 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept if the other end gives no
	// timeout.
	defaultIdleTimeout = 3 * time.Second
)

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	R       *bufio.Reader
	Reused  bool // it served an earlier request
	addr    string
	expires time.Time

	received   bool          // the other end has sent something
	cut        bool          // a message was not written to its end
	answered   []uint64      // see RecordAnswered
	ackTimeout time.Duration // TCP_USER_TIMEOUT in force
	failure    failure

	silence   time.Duration // after which onSilence is called; 0 is never
	onSilence func(woken bool) error
	woken     atomic.Bool     // see Wake
	ctx       context.Context // whose end ends reads and writes
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.failure.note(err)
	return n, err
}

// WriteAll writes the parts of a message.
func (c *Conn) WriteAll(parts ...[]byte) error {
	buffers := net.Buffers(parts) // WriteTo takes what it has written out of them
	for {
		n, err := c.watch(c.SetWriteDeadline, func() (int, error) {
			n, err := buffers.WriteTo(c.Conn)
			c.failure.note(err)
			return int(n), err
		})
		if n == 0 || !isDeadline(err) {
			c.cut = c.cut || err != nil
			return err
		}
	}
}

// control calls get with the descriptor of a TCP connection, and reports whether it succeeded.
func (c *Conn) control(get func(fd int) error) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var got error
	err = raw.Control(func(fd uintptr) { got = get(int(fd)) })
	return err == nil && got == nil
}

// read reads from the connection.
func (c *Conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received = c.received || n > 0
	return n, c.failure.ofRead(err)
}

// Received reports whether anything was read from the connection, as of an earlier response. A connection that
// was only opened and kept has received nothing.
func (c *Conn) Received() bool { return c.received }

// maxAnswered is the number of requests that a connection knows; it forgets the oldest first.
const maxAnswered = 128

// RecordAnswered records that a request got a response on the connection, after which it may be sent once more. A
// copy of that response could not be told from the next one. request is a hash of the id that the other end repeats.
func (c *Conn) RecordAnswered(request uint64) {
	if len(c.answered) == maxAnswered {
		c.answered = slices.Delete(c.answered, 0, 1)
	}
	c.answered = append(c.answered, request)
}

// HasAnswered reports whether RecordAnswered was called for a request and is not forgotten.
func (c *Conn) HasAnswered(request uint64) bool { return slices.Contains(c.answered, request) }

// SetAckTimeout sets the silence of the other end after which the connection is closed, whether
// bytes wait for an acknowledgement or only keep-alive probes do.
func (c *Conn) SetAckTimeout(d time.Duration) {
	if c.ackTimeout != d {
		SetUserTimeout(c.Conn, d)
		c.ackTimeout = d
	}
}

// Pool keeps idle connections to endpoints and returns the newest first. It is safe
// for concurrent use; no other lock is acquired while Pool.mu is held.
type Pool struct {
	userTimeout time.Duration // TCP_USER_TIMEOUT of the connections
	source      net.IP        // of the connections; nil leaves the choice to the system

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool. A connection is closed when sent bytes stay
// unacknowledged for userTimeout.
func NewPool(userTimeout time.Duration) *Pool {
	return &Pool{userTimeout: userTimeout, idle: make(map[string][]*Conn)}
}

// NewPoolFrom returns an empty pool whose connections come from an address of this host. If
// that is empty or not one of this host, the system chooses the address.
func NewPoolFrom(source string, userTimeout time.Duration) *Pool {
	p := NewPool(userTimeout)
	p.source = net.ParseIP(source)
	return p
}

// Get returns an idle connection to addr that holds no unread bytes and that fits, or nil. A nil fits is any. It is
// called under a lock and must not use the pool.
func (p *Pool) Get(addr string, now time.Time, fits func(c *Conn) bool) *Conn {
	for {
		c := p.takeNewest(addr, fits)
		if c == nil || now.Before(c.expires) && reusable(c) {
			return c
		}
		_ = c.Close() // an error of closing an idle connection has no effect
	}
}

func (p *Pool) takeNewest(addr string, fits func(c *Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if fits == nil || fits(c) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Dial opens a connection to addr.
func (p *Pool) Dial(ctx context.Context, addr string, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveProbes}}
	if p.source != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.source}
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.EADDRNOTAVAIL) && d.LocalAddr != nil {
		d.LocalAddr = nil
		conn, err = d.DialContext(ctx, "tcp", addr)
	}
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c := &Conn{Conn: conn, addr: addr}
	c.R = bufio.NewReaderSize(silenceReader{c}, readBufferBytes)
	c.SetAckTimeout(p.userTimeout)
	return c, nil
}

// Put keeps a connection whose last response was read to its end, unless the request was not written to its end: the other end
// takes what comes next for the rest. It closes the oldest one beyond maxIdle. idle is the other end's idle timeout, or 0.
func (p *Pool) Put(c *Conn, now time.Time, idle time.Duration, maxIdle int) {
	keep := defaultIdleTimeout
	if idle > 0 {
		keep = idle - idleTimeoutMargin
	}
	c.silence, c.onSilence, c.ctx = 0, nil, nil
	c.woken.Store(false)
	if keep <= 0 || c.cut || c.R.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.Reused, c.expires = true, now.Add(keep)
	p.mu.Lock()
	list := p.idle[c.addr]
	var old *Conn
	if len(list) >= maxIdle && len(list) > 0 {
		old, list = list[0], list[1:]
	}
	p.idle[c.addr] = append(list, c)
	p.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Expire closes the idle connections that have expired.
func (p *Pool) Expire(now time.Time) {
	var old []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Unsolicited bytes would be taken for the next response.
func reusable(c *Conn) bool {
	if c.R.Buffered() > 0 {
		return false
	}
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return true
	}
	var peek error
	return c.control(func(fd int) error {
		var b [1]byte
		_, _, peek = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return nil
	}) && (peek == unix.EAGAIN || peek == unix.EWOULDBLOCK)
}

// SetUserTimeout closes a TCP connection when sent bytes stay unacknowledged
// for d. Other connections are left as they are.
func SetUserTimeout(conn net.Conn, d time.Duration) {
	sc, ok := conn.(syscall.Conn)
	if !ok || d <= 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// A kernel without the option leaves the keep-alive probes to find a dead peer.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
