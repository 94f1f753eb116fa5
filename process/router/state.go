package router

import "time"

// State is what the router believes at a moment, for its metrics.
type State struct {
	ConfigVersion     int64 `json:"config_version"` // in force; 0 if none
	StoreEra          int64 `json:"store_era"`      // rises when the store comes back from an older copy
	EndpointsLeaving  int   `json:"endpoints_leaving"`
	EndpointsPaused   int   `json:"endpoints_paused"`  // want no requests from this router for a time
	EndpointsLimited  int   `json:"endpoints_limited"` // name a number of requests a second that they take
	EndpointsBrittle  int   `json:"endpoints_brittle"` // crash when they reject too many requests
	BodiesQuarantined int   `json:"bodies_quarantined"`
	PartsQuarantined  int   `json:"parts_quarantined"`
	PartsSuspected    int   `json:"parts_suspected"`
	PermitServices    int   `json:"permit_services"` // whose permits this router owns
	PermitsWaiting    int   `json:"permits_waiting"` // calls of all routers that wait for these
	PermitsRunning    int   `json:"permits_running"` // calls of all routers that have one
	ServicesLost      int   `json:"services_lost"`   // this router does not reach their endpoints

	Rollouts map[string]RolloutState `json:"rollouts,omitempty"` // by service
}

// State returns what the router believes now.
func (r *Router) State() State {
	now := time.Now()
	restricted := r.endpoints.CountRestricted(now)
	q := r.quarantine.Counts()
	owned, waiting, running := r.permits.counts()
	return State{ConfigVersion: r.ConfigVersion(), StoreEra: r.era.Load(), EndpointsLeaving: restricted.Leaving, EndpointsPaused: restricted.Paused,
		EndpointsLimited: restricted.Limited, EndpointsBrittle: restricted.Brittle,
		PermitServices: owned, PermitsWaiting: waiting, PermitsRunning: running,
		BodiesQuarantined: q.Bodies, PartsQuarantined: q.Parts, PartsSuspected: q.Suspected, ServicesLost: len(r.links.table.Lost()),
		Rollouts: r.rolloutStates(now)}
}
