package config

import (
	"slices"
	"time"
)

// Version is the log offset of the last accepted change, or 0 if no change has
// been accepted yet.
type Version uint64

// Target is a zone, host or endpoint that operators can take out of service.
type Target struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
}

// Scope is the type of a Target.
type Scope string

// The scopes of a Target.
const (
	ScopeZone     Scope = "zone"
	ScopeHost     Scope = "host"
	ScopeEndpoint Scope = "endpoint"
)

// OutOfService marks a target as out of service.
type OutOfService struct {
	Target Target    `json:"target"`
	Since  time.Time `json:"since"`
	Author string    `json:"by"`
}

// State is the result of the accepted records of the log. It is immutable:
// configlog.Fold never modifies a State that it has returned.
type State struct {
	Version      Version        `json:"version"`
	Config       Config         `json:"config"`
	OutOfService []OutOfService `json:"out"`
}

// IsOutOfService reports whether target itself is marked as out of service.
func (s *State) IsOutOfService(target Target) bool {
	return slices.ContainsFunc(s.OutOfService, func(m OutOfService) bool { return m.Target == target })
}
