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
func (p freshConfigPolicy) Acquire(entry *sim.Router, group []*admissionsim.Endpoint, done func(*admissionsim.Slot)) {
	if !p.mayServe(entry) {
		done(nil)
		return
	}
	p.Policy.Acquire(entry, group, func(slot *admissionsim.Slot) {
		if slot == nil {
			done(nil)
			return
		}
		check := slot.Check
		slot.Check = func() bool { return p.mayServe(entry) && (check == nil || check()) }
		done(slot)
	})
}

func (p freshConfigPolicy) mayServe(r *sim.Router) bool {
	proc := p.history.processes[r]
	return proc != nil && p.history.mayServe(proc)
}
