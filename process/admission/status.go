package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/process/member"
)

// EndpointStatus is the owner's state for one endpoint.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Permits  int    `json:"permits"`
	Foreign  int    `json:"foreign"` // requests at the endpoint without a permit of this owner
	Waiting  int    `json:"waiting"`
	Limit    int    `json:"limit"`    // permits that this owner may have granted
	Cap      int    `json:"cap"`      // of the endpoint over all owners
	ColdCap  int    `json:"cold_cap"` // cap that follows from a cold start
	Cold     bool   `json:"cold"`
	Counted  int    `json:"counted"` // routers bound to this owner
	Known    int    `json:"known"`   // known routers of the region
}

// Status returns the state of all endpoints, sorted by name.
func (o *Owner) Status(now time.Time) []EndpointStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	bindings := o.members.Bindings(now)
	out := make([]EndpointStatus, 0, len(o.names))
	for _, name := range o.names {
		e := o.endpoints[name]
		l := o.updateLimit(now, e, bindings)
		out = append(out, EndpointStatus{
			Endpoint: name, Permits: len(e.permits), Foreign: e.foreign, Waiting: len(e.waiting),
			Limit: l.permits, Cap: l.endpointCap, ColdCap: l.coldCap, Cold: l.cold,
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
	return o.snap != nil && e != nil && o.updateLimit(now, e, o.members.Bindings(now)).permits > 0
}

// EndpointsToPoll returns the endpoints whose load reports this router needs, in
// sorted order: those for which routers are bound to it, and those with permits or
// waiting requests. It also adds newly owned endpoints to o.
func (o *Owner) EndpointsToPoll(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	bindings := o.members.Bindings(now)
	for _, name := range o.ownedNames(bindings) {
		o.endpoint(name)
	}
	var out []string
	for _, name := range o.names {
		e := o.endpoints[name]
		if o.snap.Endpoint(name) == nil {
			continue
		}
		o.updateLimit(now, e, bindings)
		if !e.idle() {
			out = append(out, name)
		}
	}
	return out
}

// ownedNames returns the endpoints for which any binding makes this router the
// owner. It is recomputed only when the set of bindings or the configuration
// changes, not when the counts change.
func (o *Owner) ownedNames(bindings *member.Bindings) []string {
	if o.ownedSnap == o.snap && sameBindings(o.ownedBindings, bindings) {
		return o.owned
	}
	o.ownedSnap, o.ownedBindings = o.snap, bindings
	o.owned = nil
	for i := range o.snap.Config.Endpoints {
		name := o.snap.Config.Endpoints[i].Name
		if bindings.CountFor(member.DutyAdmission, name) > 0 {
			o.owned = append(o.owned, name)
		}
	}
	return o.owned
}

// sameBindings reports whether a and b have the same bindings in any order.
func sameBindings(a, b *member.Bindings) bool {
	if a == nil || len(a.Counts) != len(b.Counts) {
		return false
	}
	for i := range b.Counts {
		if !hasBinding(a, &b.Counts[i]) {
			return false
		}
	}
	return true
}

func hasBinding(bindings *member.Bindings, binding *member.BindingCount) bool {
	for i := range bindings.Counts {
		if bindings.Counts[i].View == binding.View && bindings.Counts[i].Prev == binding.Prev {
			return true
		}
	}
	return false
}
