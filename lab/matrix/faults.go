package matrix

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/version/config"
)

// trouble is a fault of the matrix. begin must not block for long.
type trouble struct {
	name  string
	begin func(ctx context.Context, b *bench)
}

// Times of faults.
const (
	slowBy      = 300 * time.Millisecond
	lateBy      = 400 * time.Millisecond
	surgeSize   = 60
	flapPause   = 100 * time.Millisecond
	markTimeout = 5 * time.Second
)

// troubles are the faults of the brief that one process can bring about.
// Pauses, islands and vanishing packets are in lab/histories and in the tests
// with real processes.
func troubles() []trouble {
	return []trouble{
		{"log down", func(_ context.Context, b *bench) { b.log(fault.Fault{Name: fault.Outage}) }},
		{"log slow", func(_ context.Context, b *bench) { b.log(fault.Fault{Name: fault.Slow, Delay: slowBy}) }},
		{"log reply lost", func(_ context.Context, b *bench) { b.log(fault.Fault{Name: fault.LostReply, Count: 2}) }},
		{"list down", func(_ context.Context, b *bench) { _ = b.fleet.Site.Hosts.Faults().On(fault.Fault{Name: fault.Outage}) }},
		{"list lacks a host", func(_ context.Context, b *bench) { b.fleet.Site.Hosts.Remove(b.victim().Name) }},
		{"router killed", func(_ context.Context, b *bench) { _ = b.fleet.Restart(b.victim()) }},
		{"endpoints refuse", endpoints(fault.Refuse)},
		{"endpoints crash before", endpoints(fault.CrashBefore)},
		{"endpoints crash", endpoints(fault.Crash)},
		{"connections go silent", endpoints(fault.Silence)},
		{"no answer", endpoints(fault.NoAnswer)},
		{"answers late", endpoints(fault.Late)},
		{"answers truncated", endpoints(fault.Truncate)},
		{"answers cut", endpoints(fault.Cut)},
		{"answers crossed", endpoints(fault.Crossed)},
		{"reply lost", endpoints(fault.LostReply)},
		{"cold without notice", func(_ context.Context, b *bench) { b.eachEngine(func(e engineStandin) { e.TurnCold() }) }},
		{"load reports lost", endpoints(fault.LoadOutage)},
		{"endpoints flap", flap},
		{"zone taken out", func(ctx context.Context, b *bench) { b.mark(ctx, "zone-a", true) }},
		{"operators race", race},
		{"workspace surges", surge},
	}
}

// engineStandin is what faults need of an engine.
type engineStandin interface {
	TurnCold()
	StartDrain()
	EndDrain()
}

func (b *bench) log(f fault.Fault) {
	_ = b.fleet.Site.Log.Faults().On(f)
}

// endpoints returns a fault that strikes once at every endpoint.
func endpoints(name fault.Name) func(context.Context, *bench) {
	return func(_ context.Context, b *bench) {
		f := fault.Fault{Name: name, Count: 1, Delay: lateBy}
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

// flap lets half of the engines leave and come back a few times.
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

// race lets two operators take a zone out and bring it back at once.
func race(ctx context.Context, b *bench) {
	for _, out := range []bool{true, false, true, false} {
		b.operators.Go(func() { b.mark(ctx, "zone-b", out) })
	}
}

// surge sends many chats of another workspace at once.
func surge(ctx context.Context, b *bench) {
	probe := newProbe(b.probe.prefix + "-surge")
	for i := range surgeSize {
		entry := b.entry(i)
		name := probe.name()
		go func() { probe.flood(ctx, entry, name) }()
	}
}

// mark takes a zone out or brings it back.
func (b *bench) mark(ctx context.Context, zone string, out bool) {
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

// clear ends all faults of stand-ins.
func (b *bench) clear() {
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

// bringBack brings all zones back into service.
func (b *bench) bringBack(ctx context.Context) error {
	for {
		state, err := b.operator.Config(ctx)
		if err == nil && len(state.OutOfService) == 0 {
			return nil
		}
		for _, out := range state.OutOfService {
			b.mark(ctx, out.Target.Name, false)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, healCheck)
	}
}
