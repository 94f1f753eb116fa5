package histories

import (
	"github.com/stoatmount/stoatmount/lab/admissionsim"
	"github.com/stoatmount/stoatmount/lab/sim"
)

// freshConfigPolicy is an admission policy that admits and dispatches requests
// only under a fresh configuration.
type freshConfigPolicy struct {
	admissionsim.Policy
	history *history
}

// Acquire implements admissionsim.Policy.
func (g freshConfigPolicy) Acquire(entry *sim.Router, group []*admissionsim.Endpoint, done func(*admissionsim.Slot)) {
	if !g.mayServe(entry) {
		done(nil)
		return
	}
	g.Policy.Acquire(entry, group, func(p *admissionsim.Slot) {
		if p == nil {
			done(nil)
			return
		}
		check := p.Check
		p.Check = func() bool { return g.mayServe(entry) && (check == nil || check()) }
		done(p)
	})
}

func (g freshConfigPolicy) mayServe(r *sim.Router) bool {
	h := g.history.hosts[r]
	return h != nil && g.history.mayServe(h)
}
