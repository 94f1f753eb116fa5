package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/peers"
)

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
