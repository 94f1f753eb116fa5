package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

// BenchmarkAcquire measures one choice among the endpoints of a service.
func BenchmarkAcquire(b *testing.B) {
	for _, endpoints := range []int{9, 112, 640} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			table := New(config(), rng.Float64)
			table.SetPeers("self", nil, 0, nil, 250*time.Millisecond)
			for i := range endpoints {
				table.Apply(t0, []Change{put(i, nil)}, false)
			}
			now := t0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				g, refusal := table.Acquire(now, balance.Request{Service: "s", Class: "c", Key: uint64(i % 500), HasKey: true, Objective: time.Second})
				if refusal != nil {
					b.Fatal(refusal.Code)
				}
				table.Release(now, g, balance.NoFailure, 50*time.Millisecond)
			}
		})
	}
}
