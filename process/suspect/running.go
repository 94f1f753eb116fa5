package suspect

import (
	"slices"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// run is a request that was dispatched to an endpoint.
type run struct {
	id          uint64
	fingerprint Fingerprint
	incarnation uint64
	alone       bool
}

// Running tracks which of this router's requests run at which endpoint. It is safe
// for concurrent use.
type Running struct {
	mu         lock.Mutex[lock.Leaf]
	byEndpoint map[string][]run
}

// NewRunning returns an empty Running.
func NewRunning() *Running {
	return &Running{byEndpoint: make(map[string][]run)}
}

// Start records that request id with fingerprint f was dispatched to endpoint.
func (r *Running) Start(id uint64, f Fingerprint, endpoint string, incarnation uint64, alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byEndpoint[endpoint] = append(r.byEndpoint[endpoint], run{id: id, fingerprint: f, incarnation: incarnation, alone: alone})
}

// End records that request id no longer runs at endpoint. It returns the message
// for the home of its fingerprint, or nil if EndpointLost has already reported the
// request. completed tells whether the request completed.
func (r *Running) End(id uint64, endpoint string, completed bool) *peerpb.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.byEndpoint[endpoint]
	i := slices.IndexFunc(runs, func(x run) bool { return x.id == id })
	if i < 0 {
		return nil
	}
	ended := runs[i]
	r.set(endpoint, slices.Delete(runs, i, i+1))
	m := ended.message(endpoint)
	m.Cleared = completed
	m.Withdrawn = !completed
	return m
}

// EndpointLost records that endpoint was lost with all its requests. It returns
// one message per request, for the home of its fingerprint. incarnation is that of the
// lost process, or 0 if unknown.
func (r *Running) EndpointLost(endpoint string, incarnation uint64) []*peerpb.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []*peerpb.Suspect
	var kept []run
	for _, x := range r.byEndpoint[endpoint] {
		if incarnation != 0 && x.incarnation != 0 && x.incarnation != incarnation {
			kept = append(kept, x)
			continue
		}
		m := x.message(endpoint)
		m.Crashed = true
		lost = append(lost, m)
	}
	r.set(endpoint, kept)
	return lost
}

func (r *Running) set(endpoint string, runs []run) {
	if len(runs) == 0 {
		delete(r.byEndpoint, endpoint)
		return
	}
	r.byEndpoint[endpoint] = runs
}

func (x *run) message(endpoint string) *peerpb.Suspect {
	return &peerpb.Suspect{
		Fingerprint: uint64(x.fingerprint),
		Endpoint:    endpoint,
		Boot:        x.incarnation,
		Alone:       x.alone,
	}
}
