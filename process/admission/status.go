package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

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
	shares := o.members.Bindings(now)
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

// Usable reports whether this owner may grant permits at the endpoint.
func (o *Owner) Usable(now time.Time, endpointName string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[endpointName]
	return o.snap != nil && e != nil && o.limit(now, e, o.members.Bindings(now)).permits > 0
}

// EndpointsToPoll returns the endpoints whose load reports this router needs, sorted:
// those that routers are bound to it for, and those with permits or waiting
// requests. It also enters newly owned endpoints into the table.
func (o *Owner) EndpointsToPoll(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	shares := o.members.Bindings(now)
	for _, name := range o.ownedNames(shares) {
		o.endpoint(name)
	}
	var out []string
	for _, name := range o.names {
		e := o.endpoints[name]
		if o.snap.Endpoint(name) == nil {
			continue
		}
		o.limit(now, e, shares)
		if !e.idle() {
			out = append(out, name)
		}
	}
	return out
}

// ownedNames returns the endpoints that routers in some stance are bound to
// this one for. It is computed anew only when the stances or the configuration
// change, not with every count.
func (o *Owner) ownedNames(shares *member.Bindings) []string {
	if o.ownedSnap == o.snap && sameStances(o.ownedShares, shares) {
		return o.owned
	}
	o.ownedSnap, o.ownedShares = o.snap, shares
	o.owned = nil
	for i := range o.snap.Config.Endpoints {
		name := o.snap.Config.Endpoints[i].Name
		if shares.CountFor(member.DutyAdmission, name) > 0 {
			o.owned = append(o.owned, name)
		}
	}
	return o.owned
}

// sameStances reports whether a and b have the same stances in any order.
func sameStances(a, b *member.Bindings) bool {
	if a == nil || len(a.Counts) != len(b.Counts) {
		return false
	}
	for i := range b.Counts {
		if !hasStance(a, &b.Counts[i]) {
			return false
		}
	}
	return true
}

func hasStance(s *member.Bindings, stance *member.BindingCount) bool {
	for i := range s.Counts {
		if s.Counts[i].View == stance.View && s.Counts[i].Prev == stance.Prev {
			return true
		}
	}
	return false
}
