package operator

import "expvar"

// RouterController is a Controller put together from its parts.
type RouterController struct {
	ConfigChanges
	*Collector
	Metrics func() []expvar.KeyValue
}

// Process holds all that operators need.
var _ Controller = RouterController{}

// Vars implements Controller.
func (p RouterController) Vars() []expvar.KeyValue {
	return p.Metrics()
}
