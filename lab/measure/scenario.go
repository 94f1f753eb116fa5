package measure

import (
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// surgeFactor multiplies the traffic of the surging workspace.
	surgeFactor = 6
	// leaveTime is how long an endpoint drains before it is upgraded.
	leaveTime = 20 * time.Second
	// downTime is how long an upgrade takes.
	downTime = 10 * time.Second
	// configTime is the time until a configuration is in force everywhere.
	configTime = 2 * time.Second
)

// installer is a policy that takes configurations and leaving marks.
type installer interface {
	install(*config.Snapshot)
	leaving(*endpoint, bool)
	moveAhead(*endpoint, time.Duration)
}

func (f *fleet) startScenario() {
	if f.scenario.churnEvery > 0 {
		f.loop.after(f.workload.Warmup, func() { f.upgradeNext(0) })
	}
	if f.scenario.surge {
		f.loop.after(f.workload.Warmup+f.workload.Counted/3, f.startSurge)
	}
	if f.scenario.zoneOut {
		f.loop.after(f.workload.Warmup+f.workload.Counted/4, func() { f.setZone(true) })
		f.loop.after(f.workload.Warmup+f.workload.Counted*5/8, func() { f.setZone(false) })
	}
}

// upgradeNext upgrades endpoint i of the workers and goes on with the next.
func (f *fleet) upgradeNext(i int) {
	workers := f.workload.workers()
	f.upgrade(f.ends[workers[i%len(workers)]])
	f.loop.after(f.scenario.churnEvery, func() { f.upgradeNext(i + 1) })
}

func (f *fleet) upgrade(e *endpoint) {
	e.leaving = true
	e.gate.close()
	if p, ok := f.policy.(installer); ok {
		p.leaving(e, true)
		p.moveAhead(e, leaveTime)
	}
	f.loop.after(leaveTime, func() { f.stop(e) })
}

// stop takes e down once it has drained.
func (f *fleet) stop(e *endpoint) {
	if e.running > 0 || len(e.queue) > 0 || e.gate.permits > 0 {
		f.loop.after(time.Second, func() { f.stop(e) })
		return
	}
	e.up = false
	f.loop.after(downTime, func() {
		e.restart()
		if p, ok := f.policy.(installer); ok {
			p.leaving(e, false)
		}
	})
}

// startSurge adds traffic of the first workspace until the end of the second
// third.
func (f *fleet) startSurge() {
	f.surging = true
	until := f.loop.now.Add(f.workload.Counted / 3)
	t := f.workload.Traffic
	part := f.source.spread[0] / f.source.spread[len(f.source.spread)-1]
	rate := t.ChatsPerSecond * part * (surgeFactor - 1) * t.Turns
	f.surgeStream(rate, until)
	f.loop.after(f.workload.Counted/3, func() { f.surging = false })
}

// surgeStream sends chats of one turn.
func (f *fleet) surgeStream(perSecond float64, until time.Time) {
	mean := time.Duration(float64(time.Second) / perSecond)
	f.loop.after(f.source.exponential(mean), func() {
		if f.loop.now.After(until) {
			return
		}
		c := f.source.newChat(0)
		c.turns = 1
		f.nextTurn(c)
		f.surgeStream(perSecond, until)
	})
}

// setZone takes the first zone out or brings it back.
func (f *fleet) setZone(out bool) {
	state := f.workload.State
	if out {
		zone := config.Target{Scope: config.ScopeZone, Name: f.config.Zones[0].Name}
		state.OutOfService = []config.OutOfService{{Target: zone, Since: f.loop.now}}
	}
	snapshot := config.NewSnapshot(state)
	f.loop.after(configTime, func() {
		f.snapshot = snapshot
		if p, ok := f.policy.(installer); ok {
			p.install(snapshot)
		}
		for _, e := range f.ends {
			if snapshot.IndexOutOfService(e.index) {
				e.gate.close()
			}
		}
	})
}

// indexOf returns the index of the endpoint called name.
func (f *fleet) indexOf(name string) int {
	return f.byName[name]
}

// serve returns the least time from dispatch to a complete answer.
func (f *fleet) serve(r *request) time.Duration {
	if r.kind.Service != "" {
		return f.workload.Traffic.CallTime
	}
	return time.Duration(r.output) * f.workload.Traffic.TokenTime
}
