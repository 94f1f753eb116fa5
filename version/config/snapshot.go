package config

import "time"

// Snapshot is an immutable, indexed State, which the request path reads without a lock.
type Snapshot struct {
	State

	endpoints   map[string]int
	kinds       map[string]int
	workspaces  map[string]int
	models      map[string]int
	groups      map[string][]int
	endpointOut []bool // by endpoint index; the endpoint or its zone is out of service
	hostOut     map[string]bool
	zoneOut     map[string]time.Time
}

// NewSnapshot indexes state.
func NewSnapshot(state State) *Snapshot {
	s := &Snapshot{
		State:       state,
		endpoints:   make(map[string]int, len(state.Config.Endpoints)),
		kinds:       make(map[string]int, len(state.Config.Kinds)),
		workspaces:  make(map[string]int, len(state.Config.Workspaces)),
		models:      make(map[string]int, len(state.Config.Models)),
		groups:      make(map[string][]int),
		endpointOut: make([]bool, len(state.Config.Endpoints)),
		hostOut:     make(map[string]bool),
		zoneOut:     make(map[string]time.Time),
	}
	s.indexMarks()
	s.indexConfig()
	return s
}

func (s *Snapshot) indexMarks() {
	for _, mark := range s.OutOfService {
		switch mark.Target.Scope {
		case ScopeZone:
			s.zoneOut[mark.Target.Name] = mark.Since
		case ScopeHost:
			s.hostOut[mark.Target.Name] = true
		case ScopeEndpoint:
		}
	}
}

// indexConfig needs zoneOut, and so runs after indexMarks.
func (s *Snapshot) indexConfig() {
	for i := range s.Config.Endpoints {
		e := &s.Config.Endpoints[i]
		s.endpoints[e.Name] = i
		s.groups[e.Group()] = append(s.groups[e.Group()], i)
		s.endpointOut[i] = s.ZoneOutOfService(e.Zone) || s.IsOutOfService(Target{Scope: ScopeEndpoint, Name: e.Name})
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
// serve the model or service called group. The caller must not modify it.
func (s *Snapshot) GroupEndpoints(group string) []int {
	return s.groups[group]
}

// EndpointOutOfService reports whether the endpoint called name must not get new
// requests: it or its zone is out of service, or it is unknown.
func (s *Snapshot) EndpointOutOfService(name string) bool {
	i, ok := s.endpoints[name]
	return !ok || s.endpointOut[i]
}

// IndexOutOfService is EndpointOutOfService by index in Config.Endpoints.
func (s *Snapshot) IndexOutOfService(i int) bool {
	return s.endpointOut[i]
}

// ZoneOutOfService reports whether the zone called name is out of service.
func (s *Snapshot) ZoneOutOfService(name string) bool {
	_, out := s.zoneOut[name]
	return out
}

// HostOutOfService reports whether the entry host called name, or its zone, is
// out of service.
func (s *Snapshot) HostOutOfService(name, zone string) bool {
	return s.hostOut[name] || s.ZoneOutOfService(zone)
}
