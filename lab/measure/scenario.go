package measure

import (
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// surgeFactor multiplies the traffic of the surging workspace.
	surgeFactor = 6
	// drainTime is the shortest time that an endpoint drains before its upgrade.
	drainTime = 20 * time.Second
	// upgradeTime is the downtime of an upgrade.
	upgradeTime = 10 * time.Second
	// configDelay is the time until a configuration is in force on all routers.
	configDelay = 2 * time.Second
)

// admissionPolicy is a policy with admission control. It handles new configurations and draining endpoints.
type admissionPolicy interface {
	install(*config.Snapshot)
	setDraining(*endpoint, bool)
	migrateChats(*endpoint, time.Duration)
}

func (f *fleet) startScenario() {
	if f.scenario.upgradeInterval > 0 {
		f.loop.after(f.workload.Warmup, func() { f.upgradeNext(0) })
	}
	if f.scenario.surge {
		f.loop.after(f.workload.Warmup+f.workload.Measured/3, f.startSurge)
	}
	if f.scenario.zoneOutOfService {
		f.loop.after(f.workload.Warmup+f.workload.Measured/4, func() { f.setZoneOutOfService(true) })
		f.loop.after(f.workload.Warmup+f.workload.Measured*5/8, func() { f.setZoneOutOfService(false) })
	}
}

// upgradeNext upgrades endpoint i of those that serve models and schedules the
// next upgrade.
func (f *fleet) upgradeNext(i int) {
	indexes := f.workload.modelEndpoints()
	f.upgrade(f.endpoints[indexes[i%len(indexes)]])
	f.loop.after(f.scenario.upgradeInterval, func() { f.upgradeNext(i + 1) })
}

func (f *fleet) upgrade(e *endpoint) {
	e.draining = true
	e.admission.denyAll()
	if p, ok := f.policy.(admissionPolicy); ok {
		p.setDraining(e, true)
		p.migrateChats(e, drainTime)
	}
	f.loop.after(drainTime, func() { f.stop(e) })
}

// stop stops e once it has drained, and restarts it after the upgrade.
func (f *fleet) stop(e *endpoint) {
	if e.running > 0 || len(e.queue) > 0 || e.admission.permits > 0 {
		f.loop.after(time.Second, func() { f.stop(e) })
		return
	}
	e.up = false
	f.loop.after(upgradeTime, func() {
		e.restart()
		if p, ok := f.policy.(admissionPolicy); ok {
			p.setDraining(e, false)
		}
	})
}

// startSurge adds traffic of the first workspace for the second third of the
// measured time.
func (f *fleet) startSurge() {
	f.surging = true
	until := f.loop.now.Add(f.workload.Measured / 3)
	t := f.workload.Traffic
	share := f.source.cumulativeWeights[0] / f.source.cumulativeWeights[len(f.source.cumulativeWeights)-1]
	rate := t.ChatsPerSecond * share * (surgeFactor - 1) * t.Turns
	f.surgeStream(rate, until)
	f.loop.after(f.workload.Measured/3, func() { f.surging = false })
}

// surgeStream sends chats of one turn as a Poisson process, until the given time.
func (f *fleet) surgeStream(perSecond float64, until time.Time) {
	mean := time.Duration(float64(time.Second) / perSecond)
	f.loop.after(f.source.exponential(mean), func() {
		if f.loop.now.After(until) {
			return
		}
		c := f.source.newChat(0)
		c.turnsLeft = 1
		f.nextTurn(c)
		f.surgeStream(perSecond, until)
	})
}

// setZoneOutOfService takes the first zone out of service or brings it back.
func (f *fleet) setZoneOutOfService(out bool) {
	state := f.workload.State
	if out {
		zone := config.Target{Scope: config.ScopeZone, Name: f.config.Zones[0].Name}
		state.OutOfService = []config.OutOfService{{Target: zone, Since: f.loop.now}}
	}
	snapshot := config.NewSnapshot(state)
	f.loop.after(configDelay, func() {
		f.snapshot = snapshot
		if p, ok := f.policy.(admissionPolicy); ok {
			p.install(snapshot)
		}
		for _, e := range f.endpoints {
			if snapshot.IndexOutOfService(e.index) {
				e.admission.denyAll()
			}
		}
	})
}

// indexOf returns the index of the endpoint called name.
func (f *fleet) indexOf(name string) int {
	return f.byName[name]
}

// minServeTime returns the shortest time from dispatch to a complete response.
func (f *fleet) minServeTime(r *request) time.Duration {
	if r.kind.Service != "" {
		return f.workload.Traffic.CallTime
	}
	return time.Duration(r.output) * f.workload.Traffic.TokenTime
}
