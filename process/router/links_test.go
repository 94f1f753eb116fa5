package router

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Connections from hosts without a router are closed unread.
func TestRelayListenerRefusesStrangers(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := routerListener{l, func(host string) bool { return host == "127.0.0.2" }}.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	from := func(host string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
		conn, err := d.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	stranger := from("127.0.0.1")
	c.Assert(stranger.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, err = stranger.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.IsNil))
	timeout, ok := err.(net.Error)
	c.Assert(ok && timeout.Timeout(), qt.IsFalse)
	from("127.0.0.2")
	_ = (<-accepted).Close()
}
