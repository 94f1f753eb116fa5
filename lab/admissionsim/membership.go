package admissionsim

import (
	"fmt"
	"runtime"
	"time"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/member"
)

// MemberResult is what membership costs and how quickly it agrees, for one
// size of fleet.
type MemberResult struct {
	Routers int    `json:"routers"`
	Seed    uint64 `json:"seed"`
	// SentPerSecond and GotPerSecond are bytes per router in quiet times, with
	// framing; SentMost is that of the router that sent most.
	SentPerSecond    float64 `json:"sent_bytes_per_s"`
	GotPerSecond     float64 `json:"got_bytes_per_s"`
	MaxSentPerSecond float64 `json:"sent_bytes_per_s_most"`
	// CoreShare is processor time per router and second, as part of a core.
	CoreShare float64 `json:"core_share"`
	// HeapBytes is the memory of one table.
	HeapBytes float64 `json:"heap_bytes"`
	// MinCounted is the smallest part of all routers that some router
	// counted in quiet times.
	MinCounted float64 `json:"least_counted"`
	// FalseDeaths counts changes of view in quiet times.
	FalseDeaths int `json:"false_deaths"`
	// Times until all routers were on one right view, in seconds.
	StartAfter float64 `json:"start_s"`
	DeathAfter float64 `json:"death_s"`
	JoinAfter  float64 `json:"join_s"`
	LeaveAfter float64 `json:"leave_s"`
	ZoneAfter  float64 `json:"zone_death_s"` // a fifth of all at once
	// PerReplacement is the bytes that one replacement of a host adds per
	// router; Daily is what 390 replacements a day add to SentPerSecond.
	PerReplacement float64 `json:"bytes_per_replacement"`
	Daily          float64 `json:"replacements_bytes_per_s"`
}

const (
	quietMember     = time.Minute
	memberLimit     = 2 * time.Minute
	replacements    = 6
	replaceEvery    = 20 * time.Second
	replacedPerDay  = 390
	secondsPerDay   = 86400
	zonePart        = 5
	convergenceStep = 100 * time.Millisecond
)

// Membership measures one size of fleet.
func Membership(routers int, seed uint64) MemberResult {
	r := MemberResult{Routers: routers, Seed: seed}
	before := heapBytes()
	f := sim.New(routers, member.DefaultConfig(), seed)
	r.StartAfter = converge(f)
	f.Run(15 * time.Second)
	r.HeapBytes = (heapBytes() - before) / float64(routers)
	r.quiet(f)
	r.DeathAfter = r.after(f, func() { f.Kill(f.Routers[0]) })
	r.JoinAfter = r.after(f, func() { f.Start(f.Routers[0]) })
	leaver := f.Routers[len(f.Routers)-1]
	r.LeaveAfter = r.after(f, func() {
		leaver.Table.SetDraining(f.Now, true)
		leaver.Member.Draining = true
	})
	f.Kill(leaver)
	f.Run(15 * time.Second)
	r.replace(f)
	r.ZoneAfter = r.after(f, func() {
		for _, x := range f.Routers[:len(f.Routers)/zonePart] {
			f.Kill(x)
		}
	})
	return r
}

// after changes the fleet, returns the time until it agrees again and lets it
// settle.
func (r *MemberResult) after(f *sim.Fleet, change func()) float64 {
	change()
	took := converge(f)
	f.Run(15 * time.Second)
	return took
}

func converge(f *sim.Fleet) float64 {
	start := f.Now
	for f.Now.Sub(start) < memberLimit {
		f.Run(convergenceStep)
		if _, right := f.Views(); right {
			break
		}
	}
	return f.Now.Sub(start).Seconds()
}

func (r *MemberResult) quiet(f *sim.Fleet) {
	sent, got := traffic(f)
	since := make(map[*sim.Router]time.Time)
	each := make(map[*sim.Router]int64)
	for _, x := range f.Routers {
		since[x] = x.Table.ViewSince()
		each[x] = x.SentBytes
	}
	r.MinCounted = 1
	began := time.Now()
	for range int(quietMember / time.Second) {
		f.Run(time.Second)
		r.MinCounted = min(r.MinCounted, leastCounted(f))
	}
	spent := time.Since(began)
	n, d := float64(len(f.Routers)), quietMember.Seconds()
	sentAfter, gotAfter := traffic(f)
	r.SentPerSecond = float64(sentAfter-sent) / n / d
	r.GotPerSecond = float64(gotAfter-got) / n / d
	r.CoreShare = spent.Seconds() / n / d
	for _, x := range f.Routers {
		r.MaxSentPerSecond = max(r.MaxSentPerSecond, float64(x.SentBytes-each[x])/d)
		if !x.Table.ViewSince().Equal(since[x]) {
			r.FalseDeaths++
		}
	}
}

// leastCounted returns the smallest part of all routers that one router counts.
func leastCounted(f *sim.Fleet) float64 {
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

// replace replaces hosts one after another: an old one leaves, a new one joins.
func (r *MemberResult) replace(f *sim.Fleet) {
	sent, _ := traffic(f)
	for i := range replacements {
		old := f.Routers[i+1]
		f.Add(fmt.Sprintf("new-%03d", i))
		old.Table.SetDraining(f.Now, true)
		old.Member.Draining = true
		f.After(replaceEvery/2, func() { f.Kill(old) })
		f.Run(replaceEvery)
	}
	after, _ := traffic(f)
	n := float64(r.Routers)
	base := r.SentPerSecond * (replacements * replaceEvery).Seconds()
	r.PerReplacement = (float64(after-sent)/n - base) / replacements
	r.Daily = r.PerReplacement * replacedPerDay / secondsPerDay
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
