package observe

import "expvar"

// Calls counts the calls to the platform's store.
type Calls struct {
	calls  *expvar.Map
	failed *expvar.Map
	bytes  expvar.Int
}

// NewCalls returns a counter that publishes its metrics.
func NewCalls(publish func(name string, v expvar.Var)) *Calls {
	c := &Calls{calls: new(expvar.Map).Init(), failed: new(expvar.Map).Init()}
	publish("store_calls", c.calls)
	publish("store_calls_failed", c.failed)
	publish("store_bytes_read", &c.bytes)
	return c
}

// Call notes a call, the bytes of its answer and its error.
func (c *Calls) Call(call string, bytes int, err error) {
	c.calls.Add(call, 1)
	c.bytes.Add(int64(bytes))
	if err != nil {
		c.failed.Add(call, 1)
	}
}
