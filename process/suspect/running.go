package suspect

import (
	"slices"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// run is a request that an endpoint has.
type run struct {
	id    uint64
	f     Fingerprint
	boot  uint64
	alone bool
}

// Running is what this router's own requests run where. It is safe for
// concurrent use.
type Running struct {
	mu         lock.Mutex[lock.Leaf]
	byEndpoint map[string][]run
}

// NewRunning returns an empty table.
func NewRunning() *Running {
	return &Running{byEndpoint: make(map[string][]run)}
}

// Start notes that request id with fingerprint f was dispatched to endpoint.
func (r *Running) Start(id uint64, f Fingerprint, endpoint string, boot uint64, alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byEndpoint[endpoint] = append(r.byEndpoint[endpoint], run{id: id, f: f, boot: boot, alone: alone})
}

// End notes that request id no longer runs at endpoint. It returns the message
// for the home of its fingerprint, or nil if Lost has reported the request.
// cleared tells that it ran to its end.
func (r *Running) End(id uint64, endpoint string, cleared bool) *peerpb.Suspect {
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
	m.Cleared = cleared
	m.Withdrawn = !cleared
	return m
}

// EndpointLost tells that endpoint was lost with all that it ran. It returns one
// message for the home of each fingerprint. boot is the number under which it
// ran, or 0 if not known.
func (r *Running) EndpointLost(endpoint string, boot uint64) []*peerpb.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []*peerpb.Suspect
	var kept []run
	for _, x := range r.byEndpoint[endpoint] {
		if boot != 0 && x.boot != 0 && x.boot != boot {
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
		Fingerprint: uint64(x.f),
		Endpoint:    endpoint,
		Boot:        x.boot,
		Alone:       x.alone,
	}
}
