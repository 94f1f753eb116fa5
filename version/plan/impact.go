package plan

import (
	"cmp"
	"slices"

	"github.com/stoatmount/stoatmount/version/config"
)

// Effect is the effect on a kind of request.
type Effect string

// The effects, from none to the worst.
const (
	EffectNone  Effect = "none"  // enough capacity is left for the current load
	EffectWaits Effect = "waits" // part of the load would wait or be refused
	EffectStops Effect = "stops" // no endpoint would be left to serve it
)

// Impact says what changes if a target is taken out of service or brought back.
type Impact struct {
	Target config.Target `json:"target"`
	Groups []GroupImpact `json:"groups"` // groups with endpoints in the target
	Kinds  []KindImpact  `json:"kinds"`  // affected kinds
	// HostsBefore and HostsAfter count the entry hosts in service.
	HostsBefore int `json:"hosts_before"`
	HostsAfter  int `json:"hosts_after"`
	// InProgress is the number of requests in progress at the target, which would
	// have to complete there.
	InProgress int `json:"in_progress"`
	// Disruptive says that a kind would stop, that a kind that cannot wait
	// would be affected, or that no entry host would be left.
	Disruptive bool `json:"breaks"`
}

// GroupImpact is the impact on one model or service. Capacity and load are in
// concurrent requests.
type GroupImpact struct {
	Group           string `json:"group"`
	EndpointsBefore int    `json:"endpoints_before"`
	EndpointsAfter  int    `json:"endpoints_after"`
	CapacityBefore  int    `json:"bears_before"`
	CapacityAfter   int    `json:"bears_after"`
	Load            int    `json:"load"` // requests in progress or waiting now
}

// KindImpact is the effect on one kind.
type KindImpact struct {
	Kind    string `json:"kind"`
	Effect  Effect `json:"effect"`
	CanWait bool   `json:"can_wait"`
	Load    int    `json:"load"`
	// Displaced is the part of the load that exceeds the remaining capacity.
	Displaced int `json:"displaced"`
}

// OutOfService returns the impact of taking target out of service under the given loads.
func OutOfService(snapshot *config.Snapshot, loads Loads, target config.Target) Impact {
	p := newPlanner(snapshot, loads, target)
	p.hosts()
	for _, group := range p.affectedGroups() {
		p.group(group)
	}
	p.impact.Disruptive = p.disruptive()
	return p.impact
}

// BackInService returns the impact of bringing target back: that of OutOfService
// with the Before and After fields swapped, without Kinds and not Disruptive.
// Returning endpoints may be in a cold start, so they count with their cold capacity.
func BackInService(snapshot *config.Snapshot, loads Loads, target config.Target) Impact {
	state := snapshot.State
	state.OutOfService = slices.DeleteFunc(slices.Clone(state.OutOfService), func(m config.OutOfService) bool { return m.Target == target })
	assumed := loads
	assumed.Endpoints = slices.Clone(loads.Endpoints)
	for i := range assumed.Endpoints {
		// Endpoints that are out of service are reported as not usable. Whether
		// they are reachable is not known until they are back.
		if snapshot.EndpointOutOfService(assumed.Endpoints[i].Name) {
			assumed.Endpoints[i].Cold = true
			assumed.Endpoints[i].Usable = true
		}
	}
	impact := OutOfService(config.NewSnapshot(state), assumed, target)
	for i := range impact.Groups {
		g := &impact.Groups[i]
		g.EndpointsBefore, g.EndpointsAfter = g.EndpointsAfter, g.EndpointsBefore
		g.CapacityBefore, g.CapacityAfter = g.CapacityAfter, g.CapacityBefore
	}
	impact.HostsBefore, impact.HostsAfter = impact.HostsAfter, impact.HostsBefore
	impact.Kinds, impact.Disruptive = []KindImpact{}, false
	return impact
}

type planner struct {
	snapshot  *config.Snapshot
	loads     Loads
	target    config.Target
	endpoints map[string]EndpointLoad
	kinds     map[string]int
	impact    Impact
}

func newPlanner(snapshot *config.Snapshot, loads Loads, target config.Target) *planner {
	p := &planner{
		snapshot:  snapshot,
		loads:     loads,
		target:    target,
		endpoints: make(map[string]EndpointLoad, len(loads.Endpoints)),
		kinds:     make(map[string]int, len(loads.Kinds)),
		impact:    Impact{Target: target, Groups: []GroupImpact{}, Kinds: []KindImpact{}},
	}
	for _, load := range loads.Endpoints {
		p.endpoints[load.Name] = load
	}
	for _, load := range loads.Kinds {
		p.kinds[load.Kind] = load.Count
	}
	return p
}

// covers reports whether the target includes the endpoint.
func (p *planner) covers(e *config.Endpoint) bool {
	switch p.target.Scope {
	case config.ScopeZone:
		return e.Zone == p.target.Name
	case config.ScopeEndpoint:
		return e.Name == p.target.Name
	default:
		return false
	}
}

func (p *planner) hosts() {
	for _, host := range p.loads.Hosts {
		if p.snapshot.HostOutOfService(host.Name, host.Zone) {
			continue
		}
		p.impact.HostsBefore++
		switch {
		case p.target.Scope == config.ScopeZone && host.Zone == p.target.Name,
			p.target.Scope == config.ScopeHost && host.Name == p.target.Name:
			p.impact.InProgress += host.InProgress
		default:
			p.impact.HostsAfter++
		}
	}
	if p.target.Scope == config.ScopeZone {
		// For a zone, planner.endpoint counts the requests at its endpoints instead.
		p.impact.InProgress = 0
	}
}

// affectedGroups returns the groups with an endpoint that the target covers,
// in the order of the configuration.
func (p *planner) affectedGroups() []string {
	var groups []string
	for i := range p.snapshot.Config.Endpoints {
		e := &p.snapshot.Config.Endpoints[i]
		if p.covers(e) && !slices.Contains(groups, e.Group()) {
			groups = append(groups, e.Group())
		}
	}
	return groups
}

func (p *planner) group(name string) {
	g := GroupImpact{Group: name}
	for _, i := range p.snapshot.GroupEndpoints(name) {
		p.endpoint(&g, i)
	}
	p.impact.Groups = append(p.impact.Groups, g)
	p.addAffectedKinds(g)
}

func (p *planner) endpoint(g *GroupImpact, index int) {
	e := &p.snapshot.Config.Endpoints[index]
	load, known := p.endpoints[e.Name]
	g.Load += load.InProgress + load.Waiting
	if p.covers(e) {
		p.impact.InProgress += load.InProgress
	}
	if p.snapshot.IndexOutOfService(index) || known && !load.Usable {
		return
	}
	capacity := e.Capacity
	if load.Cold {
		capacity = min(capacity, e.ColdCapacity)
	}
	g.EndpointsBefore++
	g.CapacityBefore += capacity
	if !p.covers(e) {
		g.EndpointsAfter++
		g.CapacityAfter += capacity
	}
}

// addAffectedKinds adds the affected kinds of group g. Kinds that can wait are
// displaced first, then those of least worth.
func (p *planner) addAffectedKinds(g GroupImpact) {
	shortfall := g.Load - g.CapacityAfter
	for _, kind := range p.displacementOrder(g.Group) {
		load := p.kinds[kind.Name]
		displaced := min(load, max(shortfall, 0))
		shortfall -= displaced
		effect := EffectNone
		switch {
		case g.EndpointsAfter == 0:
			effect, displaced = EffectStops, load
		case displaced > 0:
			effect = EffectWaits
		}
		if effect != EffectNone {
			p.impact.Kinds = append(p.impact.Kinds, KindImpact{
				Kind: kind.Name, Effect: effect, CanWait: kind.CanWait, Load: load, Displaced: displaced,
			})
		}
	}
}

// displacementOrder returns the kinds of a group, the first to be displaced first.
func (p *planner) displacementOrder(group string) []*config.Kind {
	var kinds []*config.Kind
	for i := range p.snapshot.Config.Kinds {
		if kind := &p.snapshot.Config.Kinds[i]; kind.Group() == group {
			kinds = append(kinds, kind)
		}
	}
	slices.SortStableFunc(kinds, func(a, b *config.Kind) int {
		if a.CanWait != b.CanWait {
			if a.CanWait {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Worth, b.Worth)
	})
	return kinds
}

func (p *planner) disruptive() bool {
	if p.impact.HostsBefore > 0 && p.impact.HostsAfter == 0 {
		return true
	}
	return slices.ContainsFunc(p.impact.Kinds, func(k KindImpact) bool {
		return k.Effect == EffectStops || !k.CanWait
	})
}
