package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Several routers that do not communicate keep the shared bound in any window, under
// steady load, bursts and pauses, with every request asking for two retries. testdata holds a
// run that exceeds the bound if each router uses the larger request count of two windows.
func TestRoutersKeepTheSharedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, slack = 10 * time.Second, 0.2, 54
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		budgets := make([]*SharedBudget, routers)
		for i := range budgets {
			budgets[i] = NewSharedBudget(span)
			budgets[i].SetBound(ratio, slack)
		}
		now := time.Unix(1_700_000_000, int64(rapid.IntRange(0, 999_999_999).Draw(t, "offset")))
		var requests, retries []time.Time
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			rate := rapid.IntRange(0, 60).Draw(t, "rate") // per second
			length := rapid.IntRange(1, 6).Draw(t, "seconds")
			for range rate * length {
				now = now.Add(time.Second / time.Duration(rate))
				b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
				b.CountRequest(now, "s")
				requests = append(requests, now)
				for range 2 {
					if b.Allow(now, "s", routers) {
						retries = append(retries, now)
					}
				}
			}
			if rate == 0 {
				now = now.Add(time.Duration(length) * time.Second)
			}
		}
		for i, from := range retries {
			n := 0
			for _, at := range retries[i:] {
				if at.Sub(from) < span {
					n++
				}
			}
			if bound := ratio*float64(mostRequests(requests, from, span)) + slack; float64(n) > bound {
				t.Fatalf("%d retries in the window from %v, bound %.1f", n, from, bound)
			}
		}
	})
}

// mostRequests returns the largest number of requests in a window that starts at
// from, half a window before or a window before.
func mostRequests(requests []time.Time, from time.Time, span time.Duration) int {
	most := 0
	for _, back := range []time.Duration{0, span / 2, span} {
		n := 0
		for _, at := range requests {
			if d := at.Sub(from.Add(-back)); d >= 0 && d < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestWindowExpires(t *testing.T) {
	c := qt.New(t)
	b := NewSharedBudget(10 * time.Second)
	b.SetBound(0, 4)
	now := time.Unix(1_700_000_000, 0)
	taken := 0
	for range 10 {
		if b.Allow(now, "s", 1) {
			taken++
		}
	}
	c.Assert(taken, qt.Equals, 4) // the slack
	c.Assert(b.Allow(now, "other", 1), qt.IsTrue)
	c.Assert(b.Allow(now.Add(9*time.Second), "s", 1), qt.IsFalse)
	c.Assert(b.Allow(now.Add(12*time.Second), "s", 1), qt.IsTrue)
	c.Assert(b.Allow(now.Add(time.Hour), "s", 1), qt.IsTrue)
}
