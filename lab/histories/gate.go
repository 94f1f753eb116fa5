package histories

import (
	"github.com/stoatmount/stoatmount/lab/admissionsim"
	"github.com/stoatmount/stoatmount/lab/sim"
)

// gate is the admission policy of routers that take new work, and dispatch it,
// only under a fresh configuration.
type gate struct {
	admissionsim.Policy
	world *world
}

// Acquire implements admission.Policy.
func (g gate) Acquire(entry *sim.Router, group []*admissionsim.Endpoint, done func(*admissionsim.Slot)) {
	if !g.serves(entry) {
		done(nil)
		return
	}
	g.Policy.Acquire(entry, group, func(p *admissionsim.Slot) {
		if p == nil {
			done(nil)
			return
		}
		check := p.Check
		p.Check = func() bool { return g.serves(entry) && (check == nil || check()) }
		done(p)
	})
}

func (g gate) serves(r *sim.Router) bool {
	h := g.world.hosts[r]
	return h != nil && g.world.mayServe(h)
}
