package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/forward"
	"github.com/stoatmount/stoatmount/process/peers"
)

// codecAdapter is an Adapter that only has to exist.
type codecAdapter struct{ Adapter }

func (codecAdapter) Codec() forward.Codec { return nil }

// BenchmarkHeartbeatReceived measures what a heartbeat costs its receiver, beside its decoding.
func BenchmarkHeartbeatReceived(b *testing.B) {
	for _, routers := range []int{7, 78, 295} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			s := Settings{Name: "self", Zone: "a", Front: "127.0.0.1:1", Ready: "127.0.0.1:2", Directory: "127.0.0.1:3", Store: "127.0.0.1:4"}
			r, err := New(s, codecAdapter{}, nil, logr.Discard())
			if err != nil {
				b.Fatal(err)
			}
			now := time.Now()
			heartbeats := make([]peers.Heartbeat, routers-1)
			for i := range heartbeats {
				h := peers.Heartbeat{Name: fmt.Sprintf("front-%d", i), Incarnation: 1, Number: 1, Ready: true, StoreReachable: true, Running: map[string]float64{}}
				for e := range 6 {
					h.Running[fmt.Sprintf("i-%d", (i*6+e)%165)] = 1
				}
				heartbeats[i] = h
				r.peers.RecordHeartbeat(now, h, fmt.Sprintf("10.0.0.1:%d", i+1))
			}
			b.ResetTimer()
			for n := range b.N {
				h := heartbeats[n%len(heartbeats)]
				h.Number += int64(n) + 1
				at := now.Add(time.Duration(n) * 6700 * time.Microsecond) // 150 a second
				r.peers.RecordHeartbeat(at, h, "10.0.0.1:1")
				r.onHeartbeat(at, h)
			}
		})
	}
}
