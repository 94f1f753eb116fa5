package admissionsim

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

// Endpoint models a back end. It runs every request that it is sent and counts
// those beyond its capacity.
type Endpoint struct {
	Settings       *config.Endpoint
	Incarnation    uint64
	Running        int
	Completed      int // since it turned cold
	Down           bool
	totalCompleted uint64 // since the start of this incarnation, as in load reports
	requests       []*runningRequest
	group          int
	index          int

	MaxOverrun int // most requests beyond its capacity
	Overruns   int // requests that arrived while it was full
	Arrivals   int
}

// CurrentCapacity returns how many requests the endpoint can serve at once now.
func (e *Endpoint) CurrentCapacity() int {
	s := e.Settings
	if s.WarmAfter == 0 || e.Completed >= s.WarmAfter {
		return s.Capacity
	}
	return s.ColdCapacity + (s.Capacity-s.ColdCapacity)*e.Completed/s.WarmAfter
}

// begin starts a request. It returns false if the endpoint is down.
func (e *Endpoint) begin(r *runningRequest) bool {
	if e.Down {
		return false
	}
	e.Arrivals++
	e.Running++
	e.requests = append(e.requests, r)
	if over := e.Running - e.CurrentCapacity(); over > 0 {
		e.Overruns++
		e.MaxOverrun = max(e.MaxOverrun, over)
	}
	return true
}

// runningRequest is a request at the endpoint.
type runningRequest struct {
	end func(completed bool)
}

// finish completes r unless a restart has dropped it.
func (e *Endpoint) finish(r *runningRequest) {
	i := slices.Index(e.requests, r)
	if i < 0 {
		return
	}
	e.requests = slices.Delete(e.requests, i, i+1)
	e.Running--
	e.Completed++
	e.totalCompleted++
	r.end(true)
}

// Crash drops all requests. The endpoint is down until Restart.
func (e *Endpoint) Crash() {
	e.Down = true
	dropped := e.requests
	e.requests = nil
	e.Running = 0
	for _, r := range dropped {
		r.end(false)
	}
}

// Restart brings the endpoint back, cold.
func (e *Endpoint) Restart() {
	e.Down = false
	e.Incarnation++
	e.Completed = 0
	e.totalCompleted = 0
}

// TurnCold drops the endpoint to its cold capacity unannounced: incarnation and
// reported counters stay.
func (e *Endpoint) TurnCold() {
	e.Completed = 0
}

// TimeToFirstToken is longer while the endpoint is in a cold start.
func (e *Endpoint) TimeToFirstToken() time.Duration {
	if e.Completed < e.Settings.WarmAfter {
		return coldFirstToken
	}
	return warmFirstToken
}

const (
	warmFirstToken = 50 * time.Millisecond
	coldFirstToken = 500 * time.Millisecond
)

// Report returns the endpoint's load report.
func (e *Endpoint) Report() protocol.LoadReport {
	return protocol.LoadReport{Incarnation: e.Incarnation, Running: e.Running, Completed: e.totalCompleted}
}
