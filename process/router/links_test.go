package router

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/peers"
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

// Guards against routers without links that all choose the same other router.
func TestRelaysSpreadOverRouters(t *testing.T) {
	c := qt.New(t)
	const others = 10
	chosen := make(map[string]int)
	for i := range 20 {
		r := &Router{s: Settings{Name: fmt.Sprint("front-", i), Zone: "a"}, peers: peers.New(fmt.Sprint("front-", i), time.Second)}
		now := time.Now()
		for n := range others {
			zone := []string{"b", "c"}[n%2]
			r.peers.RecordHeartbeat(now, peers.Heartbeat{Name: fmt.Sprint("other-", n), Incarnation: 1, Number: 1, Zone: zone, Ready: true}, fmt.Sprintf("10.0.0.%d:1", n))
		}
		addr, ok := newEndpointLinks(r).AcquireRelay(now, "s", nil)
		c.Assert(ok, qt.IsTrue)
		chosen[addr]++
	}
	c.Assert(len(chosen) >= others/2, qt.IsTrue, qt.Commentf("%v", chosen))
}
