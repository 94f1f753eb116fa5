package operator

import "expvar"

// RouterController implements Controller from its parts.
type RouterController struct {
	ConfigChanges
	*Collector
	Metrics func() []expvar.KeyValue
}

var _ Controller = RouterController{}

// Vars implements Controller.
func (p RouterController) Vars() []expvar.KeyValue {
	return p.Metrics()
}
