//go:build process

package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// windowPart is how many bytes a link carries at a time; windowParts of them are on their way at most.
const (
	windowPart  = 1 << 10
	windowParts = 4
)

// link forwards connections with a delay and small windows. While it is paused it delivers nothing to its target, so
// that the sender finds the window full.
type link struct {
	addr  string
	delay time.Duration

	mu     sync.Mutex
	paused time.Time // until then
}

func newLink(t *testing.T, target string, delay time.Duration) *link {
	narrow := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, windowPart*windowParts) // otherwise only the window is larger
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, windowPart*windowParts)
		})
	}
	config := net.ListenConfig{Control: narrow}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	k := &link{addr: l.Addr().String(), delay: delay}
	dialer := net.Dialer{Control: narrow, Timeout: time.Second}
	go func() {
		for near, err := l.Accept(); err == nil; near, err = l.Accept() {
			go func() {
				far, err := dialer.Dial("tcp", target)
				if err != nil {
					reset(near)
					return
				}
				var group sync.WaitGroup
				group.Go(func() { k.forward(near, far, false) })
				group.Go(func() { k.forward(far, near, true) })
				group.Wait()
				_, _ = near.Close(), far.Close()
			}()
		}
	}()
	return k
}

// pause makes the link deliver nothing to its target for d.
func (k *link) pause(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.paused = time.Now().Add(d)
}

func (k *link) awaitPause() {
	for {
		k.mu.Lock()
		left := time.Until(k.paused)
		k.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// forward copies one direction and passes its end on: to the target at once, as the kernel of a silent endpoint learns of it.
// A failure resets the other side.
func (k *link) forward(to, from net.Conn, target bool) {
	type part struct {
		at   time.Time
		data []byte
	}
	parts := make(chan part, windowParts)
	var end error
	go func() {
		defer close(parts)
		for end == nil {
			data := make([]byte, windowPart)
			var n int
			n, end = from.Read(data)
			parts <- part{time.Now().Add(k.delay), data[:n]}
		}
		if target {
			time.Sleep(k.delay)
			reset(to)
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.at))
		if target {
			k.awaitPause()
		}
		if _, err := to.Write(p.data); err != nil {
			_ = from.Close() // the reader ends, and the parts that are left fail the same way
		}
	}
	if end == io.EOF {
		_ = to.(*net.TCPConn).CloseWrite()
		return
	}
	reset(to)
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
