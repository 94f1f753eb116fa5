package admissionsim

import (
	"fmt"
	"runtime"
	"time"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/member"
)

// MemberResult is the cost of membership and the time that it takes to
// converge, for one size of fleet.
type MemberResult struct {
	Routers int    `json:"routers"`
	Seed    uint64 `json:"seed"`
	// SentPerSecond and ReceivedPerSecond are bytes per router without membership
	// changes, with framing; MaxSentPerSecond is that of the router that sent most.
	SentPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedPerSecond float64 `json:"got_bytes_per_s"`
	MaxSentPerSecond  float64 `json:"sent_bytes_per_s_most"`
	// CoreShare is the real time of the whole simulation per router and virtual second.
	CoreShare float64 `json:"core_share"`
	// HeapBytes is the memory of one table.
	HeapBytes float64 `json:"heap_bytes"`
	// MinCounted is the smallest share of all routers that one router counted
	// as bound to a view, without membership changes.
	MinCounted float64 `json:"least_counted"`
	// FalseDeaths counts the routers whose view changed without a membership change.
	FalseDeaths int `json:"false_deaths"`
	// Times until all routers had the same correct view, in seconds; at most convergenceLimit.
	StartAfter float64 `json:"start_s"`
	DeathAfter float64 `json:"death_s"`
	JoinAfter  float64 `json:"join_s"`
	LeaveAfter float64 `json:"leave_s"`
	ZoneAfter  float64 `json:"zone_death_s"` // a fifth of all at once
	// BytesPerReplacement is what one replacement of a host adds per router;
	// ReplacementBytesPerSecond is what 390 a day add to SentPerSecond.
	BytesPerReplacement       float64 `json:"bytes_per_replacement"`
	ReplacementBytesPerSecond float64 `json:"replacements_bytes_per_s"`
}

const (
	steadyStateTime     = time.Minute
	convergenceLimit    = 2 * time.Minute
	replacements        = 6
	replacementInterval = 20 * time.Second
	replacementsPerDay  = 390 // of the planned size, as restartsPerDay in package capacity
	secondsPerDay       = 86400
	zoneDivisor         = 5
	convergenceStep     = 100 * time.Millisecond
)

// Membership measures one size of fleet.
func Membership(routers int, seed uint64) MemberResult {
	r := MemberResult{Routers: routers, Seed: seed}
	before := heapBytes()
	f := sim.New(routers, member.DefaultConfig(), seed)
	r.StartAfter = converge(f)
	f.Run(15 * time.Second)
	r.HeapBytes = (heapBytes() - before) / float64(routers)
	r.measureSteadyState(f)
	r.DeathAfter = r.convergenceTime(f, func() { f.Kill(f.Routers[0]) })
	r.JoinAfter = r.convergenceTime(f, func() { f.Start(f.Routers[0]) })
	draining := f.Routers[len(f.Routers)-1]
	r.LeaveAfter = r.convergenceTime(f, func() {
		draining.Table.SetDraining(f.Now, true)
		draining.Member.Draining = true
	})
	f.Kill(draining)
	f.Run(15 * time.Second)
	r.measureReplacements(f)
	r.ZoneAfter = r.convergenceTime(f, func() {
		for _, x := range f.Routers[:len(f.Routers)/zoneDivisor] {
			f.Kill(x)
		}
	})
	return r
}

// convergenceTime applies change, returns the time until all routers agree again, and lets the fleet settle.
func (r *MemberResult) convergenceTime(f *sim.Fleet, change func()) float64 {
	change()
	elapsed := converge(f)
	f.Run(15 * time.Second)
	return elapsed
}

// converge runs f until all routers have the same correct view, and returns the
// seconds that it ran, at most convergenceLimit.
func converge(f *sim.Fleet) float64 {
	start := f.Now
	for f.Now.Sub(start) < convergenceLimit {
		f.Run(convergenceStep)
		if _, right := f.Views(); right {
			break
		}
	}
	return f.Now.Sub(start).Seconds()
}

func (r *MemberResult) measureSteadyState(f *sim.Fleet) {
	sent, got := traffic(f)
	since := make(map[*sim.Router]time.Time)
	sentBefore := make(map[*sim.Router]int64)
	for _, x := range f.Routers {
		since[x] = x.Table.ViewSince()
		sentBefore[x] = x.SentBytes
	}
	r.MinCounted = 1
	began := time.Now()
	for range int(steadyStateTime / time.Second) {
		f.Run(time.Second)
		r.MinCounted = min(r.MinCounted, minCounted(f))
	}
	spent := time.Since(began)
	n, d := float64(len(f.Routers)), steadyStateTime.Seconds()
	sentAfter, gotAfter := traffic(f)
	r.SentPerSecond = float64(sentAfter-sent) / n / d
	r.ReceivedPerSecond = float64(gotAfter-got) / n / d
	r.CoreShare = spent.Seconds() / n / d
	for _, x := range f.Routers {
		r.MaxSentPerSecond = max(r.MaxSentPerSecond, float64(x.SentBytes-sentBefore[x])/d)
		if !x.Table.ViewSince().Equal(since[x]) {
			r.FalseDeaths++
		}
	}
}

// minCounted returns the smallest share of all routers that one router counts.
func minCounted(f *sim.Fleet) float64 {
	least := 1.0
	for _, x := range f.Routers {
		s := x.Table.Bindings(f.Now)
		counted := 0
		for i := range s.Counts {
			counted += s.Counts[i].Count
		}
		least = min(least, float64(counted)/float64(s.Known))
	}
	return least
}

// measureReplacements replaces hosts one by one: a new one joins, the old one drains and ends.
func (r *MemberResult) measureReplacements(f *sim.Fleet) {
	sent, _ := traffic(f)
	for i := range replacements {
		old := f.Routers[i+1]
		f.Add(fmt.Sprintf("new-%03d", i))
		old.Table.SetDraining(f.Now, true)
		old.Member.Draining = true
		f.After(replacementInterval/2, func() { f.Kill(old) })
		f.Run(replacementInterval)
	}
	after, _ := traffic(f)
	n := float64(r.Routers)
	base := r.SentPerSecond * (replacements * replacementInterval).Seconds()
	r.BytesPerReplacement = (float64(after-sent)/n - base) / replacements
	r.ReplacementBytesPerSecond = r.BytesPerReplacement * replacementsPerDay / secondsPerDay
}

func traffic(f *sim.Fleet) (sent, got int64) {
	for _, x := range f.Routers {
		sent += x.SentBytes
		got += x.ReceivedBytes
	}
	return sent, got
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
