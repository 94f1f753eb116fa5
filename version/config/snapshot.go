package config

import "time"

// Snapshot is an immutable, indexed State. The request path reads it without
// locks.
type Snapshot struct {
	State

	endpoints  map[string]int
	kinds      map[string]int
	workspaces map[string]int
	models     map[string]int
	groups     map[string][]int
	outEnd     []bool // by endpoint index: the endpoint or its zone is out
	outHosts   map[string]bool
	outZones   map[string]time.Time
}

// NewSnapshot indexes state.
func NewSnapshot(state State) *Snapshot {
	s := &Snapshot{
		State:      state,
		endpoints:  make(map[string]int, len(state.Config.Endpoints)),
		kinds:      make(map[string]int, len(state.Config.Kinds)),
		workspaces: make(map[string]int, len(state.Config.Workspaces)),
		models:     make(map[string]int, len(state.Config.Models)),
		groups:     make(map[string][]int),
		outEnd:     make([]bool, len(state.Config.Endpoints)),
		outHosts:   make(map[string]bool),
		outZones:   make(map[string]time.Time),
	}
	s.indexOut()
	s.indexNames()
	return s
}

func (s *Snapshot) indexOut() {
	for _, mark := range s.OutOfService {
		switch mark.Target.Scope {
		case ScopeZone:
			s.outZones[mark.Target.Name] = mark.Since
		case ScopeHost:
			s.outHosts[mark.Target.Name] = true
		case ScopeEndpoint:
		}
	}
}

func (s *Snapshot) indexNames() {
	for i := range s.Config.Endpoints {
		e := &s.Config.Endpoints[i]
		s.endpoints[e.Name] = i
		s.groups[e.Group()] = append(s.groups[e.Group()], i)
		s.outEnd[i] = s.ZoneOutOfService(e.Zone) || s.IsOutOfService(Target{Scope: ScopeEndpoint, Name: e.Name})
	}
	for i := range s.Config.Kinds {
		s.kinds[s.Config.Kinds[i].Name] = i
	}
	for i := range s.Config.Workspaces {
		s.workspaces[s.Config.Workspaces[i].Name] = i
	}
	for i := range s.Config.Models {
		s.models[s.Config.Models[i].Name] = i
	}
}

// Endpoint returns the endpoint called name, or nil.
func (s *Snapshot) Endpoint(name string) *Endpoint {
	if i, ok := s.endpoints[name]; ok {
		return &s.Config.Endpoints[i]
	}
	return nil
}

// Kind returns the kind called name, or nil.
func (s *Snapshot) Kind(name string) *Kind {
	if i, ok := s.kinds[name]; ok {
		return &s.Config.Kinds[i]
	}
	return nil
}

// Workspace returns the workspace called name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace {
	if i, ok := s.workspaces[name]; ok {
		return &s.Config.Workspaces[i]
	}
	return nil
}

// Model returns the model called name, or nil.
func (s *Snapshot) Model(name string) *Model {
	if i, ok := s.models[name]; ok {
		return &s.Config.Models[i]
	}
	return nil
}

// GroupEndpoints returns the indexes in Config.Endpoints of the endpoints that
// serve the model or service called group. The caller must not change it.
func (s *Snapshot) GroupEndpoints(group string) []int {
	return s.groups[group]
}

// EndpointOutOfService reports whether the endpoint called name may get no new work: it
// is unknown, it is out, or its zone is out.
func (s *Snapshot) EndpointOutOfService(name string) bool {
	i, ok := s.endpoints[name]
	return !ok || s.outEnd[i]
}

// IndexOutOfService is EndpointOut by index in Config.Endpoints.
func (s *Snapshot) IndexOutOfService(i int) bool {
	return s.outEnd[i]
}

// ZoneOutOfService reports whether the zone called name is out.
func (s *Snapshot) ZoneOutOfService(name string) bool {
	_, out := s.outZones[name]
	return out
}

// HostOutOfService reports whether the entry host called name in zone is out.
func (s *Snapshot) HostOutOfService(name, zone string) bool {
	return s.outHosts[name] || s.ZoneOutOfService(zone)
}
