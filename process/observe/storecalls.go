package observe

import "expvar"

// StoreCalls counts the calls to the platform's store.
type StoreCalls struct {
	calls  *expvar.Map
	failed *expvar.Map
	bytes  expvar.Int
}

// NewStoreCalls returns a counter that publishes its metrics.
func NewStoreCalls(publish func(name string, v expvar.Var)) *StoreCalls {
	c := &StoreCalls{calls: new(expvar.Map).Init(), failed: new(expvar.Map).Init()}
	publish("store_calls", c.calls)
	publish("store_calls_failed", c.failed)
	publish("store_bytes_read", &c.bytes)
	return c
}

// Record counts a call, the bytes of its response and its error.
func (c *StoreCalls) Record(call string, bytes int, err error) {
	c.calls.Add(call, 1)
	c.bytes.Add(int64(bytes))
	if err != nil {
		c.failed.Add(call, 1)
	}
}
