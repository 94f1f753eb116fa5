package http1

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// failure keeps the first failure of a connection. The system reports a reset or a timeout only
// once, to a read or a write. Later reads get an end of the data, which would be taken for the end of a body.
type failure struct {
	mu    sync.Mutex
	first error
}

// note keeps the first error of a read or a write. A deadline leaves the connection open, and EPIPE
// says that the other end had ended its data before.
func (f *failure) note(err error) {
	if err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.first == nil {
		f.first = err
	}
}

// ofRead returns the error of a read: the failure that came before in place of an end of the data.
func (f *failure) ofRead(err error) error {
	f.note(err)
	if err != io.EOF {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.first != nil {
		return f.first
	}
	return err
}

// KeepFailure returns a connection whose reads return the end of the data only if the other end
// sent it, also when a write was told of the failure. It is safe for a reader beside a writer.
func KeepFailure(conn net.Conn) net.Conn { return &failureConn{Conn: conn} }

type failureConn struct {
	net.Conn
	failure failure
	writing sync.Mutex // held during a write
}

// Write implements io.Writer.
func (c *failureConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.failure.note(err)
	return n, err
}

// Read implements io.Reader.
func (c *failureConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && isClosed(c.Conn) {
		c.writing.Lock() // a write in progress fails at once and notes why
		defer c.writing.Unlock()
	}
	return n, c.failure.ofRead(err)
}

// isClosed reports whether the system has closed a TCP connection in both directions.
func isClosed(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}
