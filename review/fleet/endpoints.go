package fleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/platform/platformtest"
)

// Endpoint is an endpoint that writes its entry at an interval.
type Endpoint struct {
	*platformtest.Endpoint
	f         *Fleet
	behaviour func(r *http.Request, n int) platformtest.Behaviour

	mu    sync.Mutex
	state string
	gone  bool
}

// AddEndpoint starts an endpoint, which registers itself at once.
func (f *Fleet) AddEndpoint(id, service, zone, version string) (*Endpoint, error) {
	e, err := platformtest.NewEndpoint(id, service, zone)
	if err != nil {
		return nil, err
	}
	e.Version, e.Born = version, time.Now().UnixMilli()
	return f.adopt(e), nil
}

// adopt makes a running endpoint register itself.
func (f *Fleet) adopt(e *platformtest.Endpoint) *Endpoint {
	f.mu.Lock()
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	own := &Endpoint{Endpoint: e, f: f, state: "ready"}
	own.beat()
	f.beats.Add(1)
	go func() {
		defer f.beats.Done()
		tick := time.NewTicker(Beat)
		defer tick.Stop()
		for {
			select {
			case <-f.stop:
				return
			case <-tick.C:
				own.beat()
			}
		}
	}()
	return own
}

// beat writes the entry unless the endpoint is gone or down.
func (e *Endpoint) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.gone {
		e.f.Store.Put(platform.TopicEndpoints, e.ID, e.Entry(e.state, 0))
	}
}

// Drain makes the endpoint report that it drains. It returns when the store has acknowledged that.
func (e *Endpoint) Drain() time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	e.f.Record.Write("endpoint %s (%s) reports draining; acknowledged", e.ID, e.Service)
	return time.Now()
}

// Leave ends the endpoint and removes its entry.
func (e *Endpoint) Leave() {
	e.Silence()
	e.f.Store.Put(platform.TopicEndpoints, e.ID, nil)
	e.Close()
	e.f.Record.Write("endpoint %s (%s) ended, its entry is removed", e.ID, e.Service)
}

// Silence ends the writes of the entry.
func (e *Endpoint) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
}

// Route is a route of the configuration.
type Route struct {
	Name, Kind, Service string
	Timeout, Objective  time.Duration
	Attempts            int
	Resumable           bool
}

// Configure writes a version of the configuration. It returns when the store has acknowledged it.
func (f *Fleet) Configure(version int64, routes []Route, services []string) {
	var list, known []any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.Name, "host": Host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout.Milliseconds(), "latency_goal_ms": r.Objective.Milliseconds(), "gap_aim_ms": 300, "max_attempts": r.Attempts,
			"resumable": r.Resumable, "priority": 1, "public": false})
	}
	for _, s := range services {
		known = append(known, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 360, "cold_start_s": 0, "cold_per_s": 0})
	}
	data, err := json.Marshal(map[string]any{"version": version, "routes": list, "services": known,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Workspace, "api_keys": []string{Key}}}})
	if err != nil {
		panic(err) // plain values always have a JSON form
	}
	f.Store.Put(platform.TopicOperators, "config", data)
	f.Record.Write("configuration %d is acknowledged", version)
}

// Restart ends the process of an endpoint without notice and starts another one after a time, at the same address
// and under the same id, with a version of the software. It registers itself as soon as it listens.
func (e *Endpoint) Restart(down time.Duration, version string) *Endpoint {
	e.Silence()
	e.Close()
	e.f.Record.Write("endpoint %s (%s %s) crashed", e.ID, e.Service, e.Version)
	time.Sleep(down)
	next := e.Replace(e.ID, e.Service)
	next.Version, next.Born = version, time.Now().UnixMilli()
	next.SetBehaviour(e.behaviour)
	e.f.Record.Write("endpoint %s (%s %s) started again under its id and registers", e.ID, e.Service, version)
	started := e.f.adopt(next)
	started.behaviour = e.behaviour
	return started
}

// Behave sets the function that chooses the behaviour for each request, also after a restart.
func (e *Endpoint) Behave(f func(r *http.Request, n int) platformtest.Behaviour) {
	e.behaviour = f
	e.SetBehaviour(f)
}

// Withdraw removes the endpoint's entry; it goes on to serve. It returns when the store has acknowledged that.
func (e *Endpoint) Withdraw() time.Time {
	e.Silence()
	e.f.Store.Put(platform.TopicEndpoints, e.ID, nil)
	e.f.Record.Write("endpoint %s (%s) leaves without a report; the removal of its entry is acknowledged", e.ID, e.Service)
	return time.Now()
}
