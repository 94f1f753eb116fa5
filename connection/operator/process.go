package operator

import "expvar"

// Process is a Controller put together from its parts.
type Process struct {
	Changes
	*Gather
	Metrics func() []expvar.KeyValue
}

// Process holds all that operators need.
var _ Controller = Process{}

// Vars implements Controller.
func (p Process) Vars() []expvar.KeyValue {
	return p.Metrics()
}
