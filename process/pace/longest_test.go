package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against the longest streams, which few of those seen are like, that take longer than a bound for them, and against a
// bound that is far above what they may have.
func TestLongestStreamIsWithinItsBound(t *testing.T) {
	const plays, mostEvents, pace = 300, 160, 26 * time.Millisecond
	for _, n := range []int{2 * minRatios, 200} {
		r := rand.New(rand.NewPCG(uint64(n), 66))
		longer, loose, unknown := 0, 0, 0
		for range plays {
			var table Table
			for range n {
				s := stream(r, true)
				s.Service = service
				run := table.Begin(t0, route, service, s.Size)
				for e := range min(s.Events, recentParts) {
					run.Progress(t0.Add(s.First+time.Duration(float64(e)*lognormal(r, float64(pace), 0.05))), e+1)
				}
				table.End(t0, run)
				table.Record(t0, route, s)
			}
			longest, known := table.Longest(t0.Add(2*recentTime), route, service, Size{Most: mostEvents * 7, Expected: 1})
			took := first(r) + (mostEvents-1)*pace
			switch {
			case !known:
				unknown++
			case took > longest:
				longer++
			case longest > took*3/2:
				loose++
			}
		}
		qt.New(t).Check(unknown == 0 && longer <= plays/20 && loose <= plays/4, qt.IsTrue, qt.Commentf("%d runs seen: %d longer, %d loose, %d unknown of %d", n, longer, loose, unknown, plays))
	}
}

// first returns the time until the first event of a stream.
func first(r *rand.Rand) time.Duration {
	return time.Duration(lognormal(r, float64(100*time.Millisecond), 0.39))
}
