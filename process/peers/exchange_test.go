package peers

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// countingConn counts what is sent, and receives nothing.
type countingConn struct {
	net.PacketConn
	sent   atomic.Int64
	closed chan struct{}
}

func (c *countingConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.sent.Add(1)
	return len(p), nil
}

func (c *countingConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}

func (c *countingConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against routers that all send to all others with each process that starts, as after a power loss.
func TestStartOfManyRoutersBringsNoStormOfHeartbeats(t *testing.T) {
	for _, routers := range []int{7, 300} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			conn := &countingConn{closed: make(chan struct{})}
			e := &Exchange{Table: New("self", time.Second), Conn: conn, Log: logr.Discard(), Wake: make(chan struct{}, 1),
				Self: func() Heartbeat { return heartbeat("self", 1, 0) }, OnHeartbeat: func(time.Time, Heartbeat) {}}
			for i := range routers - 1 {
				e.Table.Register(time.Now(), Registration{Name: fmt.Sprint(i), Addr: "127.0.0.1:1"})
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { e.Run(ctx); close(done) }()
			time.Sleep(Interval(routers) / 2)
			before := conn.sent.Load()
			e.SendNow()
			synctest.Wait()
			c.Check(conn.sent.Load()-before, qt.Equals, int64(routers-1), qt.Commentf("sent at once"))
			const span = 2 * time.Second
			for i := range 200 { // processes that start
				e.handle(time.Now(), message{Heartbeat: &Heartbeat{Name: fmt.Sprint(i % (routers - 1)), Incarnation: int64(i + 1), Number: 1}}, "127.0.0.1:1")
				time.Sleep(span / 200)
			}
			perSecond := float64(conn.sent.Load()-before) / span.Seconds()
			c.Check(perSecond <= 1.1*maxEarlyFactor*maxHeartbeatsPerSecond, qt.IsTrue, qt.Commentf("%d routers: %.0f datagrams a second", routers, perSecond))
			stop()
			<-done
		})
	}
}
