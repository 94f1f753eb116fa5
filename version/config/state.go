package config

import (
	"slices"
	"time"
)

// Version is the log offset of the last accepted change. 0 means that nothing
// has been accepted yet.
type Version uint64

// Target is what an operator takes out of service or brings back.
type Target struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
}

// Scope is the sort of thing that a Target names.
type Scope string

// The scopes of a Target.
const (
	ScopeZone     Scope = "zone"
	ScopeHost     Scope = "host"
	ScopeEndpoint Scope = "endpoint"
)

// OutOfService says that a target is out of service and since when.
type OutOfService struct {
	Target Target    `json:"target"`
	Since  time.Time `json:"since"`
	Author string    `json:"by"`
}

// State is what the accepted records of the log fold to. It is a value: the
// fold never changes a State that it has handed out.
type State struct {
	Version      Version        `json:"version"`
	Config       Config         `json:"config"`
	OutOfService []OutOfService `json:"out"`
}

// IsOutOfService reports whether target is marked as out.
func (s *State) IsOutOfService(target Target) bool {
	return slices.ContainsFunc(s.OutOfService, func(m OutOfService) bool { return m.Target == target })
}
