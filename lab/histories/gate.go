package histories

import (
	"github.com/stoatmount/stoatmount/lab/admission"
	"github.com/stoatmount/stoatmount/lab/virtual"
)

// gate is the admission policy of routers that take new work, and dispatch it,
// only under a fresh configuration.
type gate struct {
	admission.Policy
	world *world
}

// Acquire implements admission.Policy.
func (g gate) Acquire(entry *virtual.Router, group []*admission.Endpoint, done func(*admission.Slot)) {
	if !g.serves(entry) {
		done(nil)
		return
	}
	g.Policy.Acquire(entry, group, func(p *admission.Slot) {
		if p == nil {
			done(nil)
			return
		}
		check := p.Check
		p.Check = func() bool { return g.serves(entry) && (check == nil || check()) }
		done(p)
	})
}

func (g gate) serves(r *virtual.Router) bool {
	h := g.world.hosts[r]
	return h != nil && g.world.mayServe(h)
}
