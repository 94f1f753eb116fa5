package admission

import "time"

// EndpointStatus is what the owner's table shows of one endpoint.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Permits  int    `json:"permits"`
	Foreign  int    `json:"foreign"` // work there that no permit stands for
	Waiting  int    `json:"waiting"`
	Limit    int    `json:"limit"`
	Cap      int    `json:"cap"`
	ColdCap  int    `json:"cold_cap"`
	Cold     bool   `json:"cold"`
	Counted  int    `json:"counted"` // routers bound to this owner
	Known    int    `json:"known"`
}

// Status returns what is kept of each endpoint, sorted by name.
func (o *Owner) Status(now time.Time) []EndpointStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	shares := o.members.Shares(now)
	out := make([]EndpointStatus, 0, len(o.names))
	for _, name := range o.names {
		e := o.endpoints[name]
		l := o.limit(now, e, shares)
		out = append(out, EndpointStatus{
			Endpoint: name, Permits: len(e.permits), Foreign: e.foreign, Waiting: len(e.waiting),
			Limit: l.permits, Cap: l.capacity, ColdCap: l.coldCap, Cold: l.cold,
			Counted: l.fraction.counted, Known: l.fraction.known,
		})
	}
	return out
}

// Watched returns the endpoints whose load reports this router needs: those
// that routers are bound to it for, and those with permits or waiting requests.
// It also enters newly owned endpoints into the table.
func (o *Owner) Watched(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	shares := o.members.Shares(now)
	var out []string
	for i := range o.snap.Config.Endpoints {
		name := o.snap.Config.Endpoints[i].Name
		e := o.endpoints[name]
		if e == nil {
			probe := endpoint{name: name}
			if probe.counted(shares) == 0 {
				continue
			}
			e = o.endpoint(name)
		}
		o.limit(now, e, shares)
		if !e.idle() {
			out = append(out, name)
		}
	}
	return out
}
