package admissionsim

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

// Endpoint models a back end: it runs what it gets and knows what it bears.
type Endpoint struct {
	Settings  *config.Endpoint
	Boot      uint64
	Running   int
	Completed int // since it turned cold
	Down      bool
	total     uint64
	requests  []*running
	group     int
	index     int

	Worst    int // most requests beyond what it bore
	Overruns int // requests that came while it was full
	Arrivals int
}

// Bears returns how many requests the endpoint bears now.
func (e *Endpoint) Bears() int {
	s := e.Settings
	if s.WarmAfter == 0 || e.Completed >= s.WarmAfter {
		return s.Capacity
	}
	return s.ColdCapacity + (s.Capacity-s.ColdCapacity)*e.Completed/s.WarmAfter
}

// begin takes a request. It returns false if the endpoint is down.
func (e *Endpoint) begin(r *running) bool {
	if e.Down {
		return false
	}
	e.Arrivals++
	e.Running++
	e.requests = append(e.requests, r)
	if over := e.Running - e.Bears(); over > 0 {
		e.Overruns++
		e.Worst = max(e.Worst, over)
	}
	return true
}

// running is a request at the endpoint.
type running struct {
	end func(completed bool)
}

// finish completes r unless a restart has dropped it.
func (e *Endpoint) finish(r *running) {
	i := slices.Index(e.requests, r)
	if i < 0 {
		return
	}
	e.requests = slices.Delete(e.requests, i, i+1)
	e.Running--
	e.Completed++
	e.total++
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
	e.Boot++
	e.Completed = 0
	e.total = 0
}

// TurnCold makes the endpoint bear little again without notice: boot number and
// counters stay.
func (e *Endpoint) TurnCold() {
	e.Completed = 0
}

// FirstToken is the time to the first token of an answer. It is long while the
// endpoint is in a cold start.
func (e *Endpoint) FirstToken() time.Duration {
	if e.Completed < e.Settings.WarmAfter {
		return coldFirstToken
	}
	return warmFirstToken
}

const (
	warmFirstToken = 50 * time.Millisecond
	coldFirstToken = 500 * time.Millisecond
)

// Report returns what the endpoint says of itself.
func (e *Endpoint) Report() protocol.LoadReport {
	return protocol.LoadReport{Incarnation: e.Boot, Running: e.Running, Completed: e.total}
}
