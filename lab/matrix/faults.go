package matrix

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/version/config"
)

// injectedFault is a fault of the matrix. begin starts it and must not block for long.
type injectedFault struct {
	name  string
	begin func(ctx context.Context, b *bench)
}

// Parameters of the faults.
const (
	slowDelay   = 300 * time.Millisecond
	lateDelay   = 400 * time.Millisecond
	surgeSize   = 60
	flapPause   = 100 * time.Millisecond
	markTimeout = 5 * time.Second
)

// injectedFaults returns the faults that can be injected within one process.
// Pauses, network partitions and lost packets are in lab/histories and in the
// tests with real processes.
func injectedFaults() []injectedFault {
	return []injectedFault{
		{"log down", func(_ context.Context, b *bench) { b.injectLogFault(fault.Fault{Name: fault.Outage}) }},
		{"log slow", func(_ context.Context, b *bench) { b.injectLogFault(fault.Fault{Name: fault.Slow, Delay: slowDelay}) }},
		{"log reply lost", func(_ context.Context, b *bench) { b.injectLogFault(fault.Fault{Name: fault.LostReply, Count: 2}) }},
		{"list down", func(_ context.Context, b *bench) { _ = b.fleet.Site.Hosts.Faults().On(fault.Fault{Name: fault.Outage}) }},
		{"list lacks a host", func(_ context.Context, b *bench) { b.fleet.Site.Hosts.Remove(b.targetRouter().Name) }},
		{"router killed", func(_ context.Context, b *bench) { _ = b.fleet.Restart(b.targetRouter()) }},
		{"endpoints refuse", endpointFault(fault.Refuse)},
		{"endpoints crash before", endpointFault(fault.CrashBefore)},
		{"endpoints crash", endpointFault(fault.Crash)},
		{"connections go silent", endpointFault(fault.Silence)},
		{"no answer", endpointFault(fault.NoAnswer)},
		{"answers late", endpointFault(fault.Late)},
		{"answers truncated", endpointFault(fault.Truncate)},
		{"answers cut", endpointFault(fault.Cut)},
		{"answers crossed", endpointFault(fault.Crossed)},
		{"reply lost", endpointFault(fault.LostReply)},
		{"cold without notice", func(_ context.Context, b *bench) { b.eachEngine(func(e engineStandin) { e.TurnCold() }) }},
		{"load reports lost", endpointFault(fault.LoadOutage)},
		{"endpoints flap", flap},
		{"zone taken out", func(ctx context.Context, b *bench) { b.markZone(ctx, "zone-a", true) }},
		{"operators race", raceOperators},
		{"workspace surges", surge},
	}
}

// engineStandin is the part of the engine stand-in that faults use.
type engineStandin interface {
	TurnCold()
	StartDrain()
	EndDrain()
}

func (b *bench) injectLogFault(f fault.Fault) {
	_ = b.fleet.Site.Log.Faults().On(f)
}

// endpointFault returns a fault that affects one request at every endpoint;
// lost load reports last until the faults are cleared.
func endpointFault(name fault.Name) func(context.Context, *bench) {
	return func(_ context.Context, b *bench) {
		f := fault.Fault{Name: name, Count: 1, Delay: lateDelay}
		if name == fault.LoadOutage {
			f.Count = 0
		}
		for _, e := range b.fleet.Site.Endpoints {
			if e.Engine != nil {
				_ = e.Engine.Faults().On(f)
			} else {
				_ = e.Service.Faults().On(f)
			}
		}
	}
}

func (b *bench) eachEngine(do func(engineStandin)) {
	for _, e := range b.fleet.Site.Endpoints {
		if e.Engine != nil {
			do(e.Engine)
		}
	}
}

// flap drains all engines and brings them back, twice.
func flap(ctx context.Context, b *bench) {
	go func() {
		for i := range 4 {
			b.eachEngine(func(e engineStandin) {
				if i%2 == 0 {
					e.StartDrain()
				} else {
					e.EndDrain()
				}
			})
			sleep(ctx, flapPause)
		}
	}()
}

// raceOperators takes a zone out of service and brings it back concurrently.
func raceOperators(ctx context.Context, b *bench) {
	for _, out := range []bool{true, false, true, false} {
		b.operatorChanges.Go(func() { b.markZone(ctx, "zone-b", out) })
	}
}

// surge sends many requests of another workspace at once.
func surge(ctx context.Context, b *bench) {
	probe := newProbe(b.probe.prefix + "-surge")
	for i := range surgeSize {
		entry := b.entry(i)
		name := probe.name()
		go func() { probe.sendAndDiscard(ctx, entry, name) }()
	}
}

// markZone takes a zone out of service or brings it back.
func (b *bench) markZone(ctx context.Context, zone string, out bool) {
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	target := config.Target{Scope: config.ScopeZone, Name: zone}
	_, _ = b.operator.Mark(ctx, api.Mark{Target: target, Out: out, Reason: "matrix"})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// clearFaults ends all faults of the stand-ins.
func (b *bench) clearFaults() {
	s := b.fleet.Site
	s.Log.Faults().Clear()
	s.Hosts.Faults().Clear()
	for _, r := range b.fleet.Routers {
		s.Hosts.Put(r.ListedHost())
	}
	for _, e := range s.Endpoints {
		if e.Engine != nil {
			e.Engine.Faults().Clear()
			e.Engine.EndDrain()
		} else {
			e.Service.Faults().Clear()
			e.Service.EndDrain()
		}
	}
}

// bringBackZones brings all zones back into service.
func (b *bench) bringBackZones(ctx context.Context) error {
	for {
		state, err := b.operator.Config(ctx)
		if err == nil && len(state.OutOfService) == 0 {
			return nil
		}
		for _, out := range state.OutOfService {
			b.markZone(ctx, out.Target.Name, false)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, recoveryPollInterval)
	}
}
