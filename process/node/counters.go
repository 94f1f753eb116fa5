package node

import (
	"context"
	"expvar"
	"maps"
	"runtime/metrics"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/plan"
)

// rateInterval is the time between two measurements of controlRate.
const rateInterval = 5 * time.Second

// counters counts the work of a process. The zero value is usable; mu is a leaf.
type counters struct {
	dropped     atomic.Int64 // background tasks dropped because the queue of the workers was full
	moves       atomic.Int64
	movesFailed atomic.Int64
	controlRate atomic.Int64 // bytes per second exchanged with other routers

	mu        sync.Mutex
	codes     map[outcome.Code]int64 // responses by result code
	active    map[string]int         // requests in progress by kind
	rateBytes int64                  // total at rateAt, the last measurement
	rateAt    time.Time
}

func (c *counters) count(code outcome.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.codes == nil {
		c.codes = make(map[outcome.Code]int64)
	}
	c.codes[code]++
}

func (c *counters) begin(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[string]int)
	}
	c.active[kind]++
}

func (c *counters) end(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[kind]--
}

// kinds returns the requests in progress by kind, sorted by name.
func (c *counters) kinds() []plan.KindLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make([]plan.KindLoad, 0, len(c.active))
	for _, kind := range slices.Sorted(maps.Keys(c.active)) {
		loads = append(loads, plan.KindLoad{Kind: kind, Count: c.active[kind]})
	}
	return loads
}

// codeCounts returns the number of responses by result code.
func (c *counters) codeCounts() *expvar.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := new(expvar.Map)
	for code, count := range c.codes {
		counts.Add(strconv.Itoa(int(code)), count)
	}
	return counts
}

// measureRates updates the rate of control traffic.
func (n *Node) measureRates(_ context.Context, now time.Time) {
	total := n.traffic.Sent() + n.traffic.Received()
	c := &n.counters
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed := now.Sub(c.rateAt).Seconds(); !c.rateAt.IsZero() && elapsed > 0 {
		c.controlRate.Store(int64(float64(total-c.rateBytes) / elapsed))
	}
	c.rateBytes, c.rateAt = total, now
}

// memoryMetric is the memory that the Go runtime has obtained from the system, in
// bytes.
const memoryMetric = "/memory/classes/total:bytes"

func memoryBytes() uint64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Vars returns the metrics of the operator API.
func (n *Node) Vars() []expvar.KeyValue {
	return []expvar.KeyValue{
		{Key: "stoatmount.codes", Value: n.counters.codeCounts()},
		{Key: "stoatmount.config_version", Value: intVar(int64(n.follower.Status().Version))},
		{Key: "stoatmount.connections", Value: intVar(n.callerServer.Connections())},
		{Key: "stoatmount.control_bytes_received", Value: intVar(n.traffic.Received())},
		{Key: "stoatmount.control_bytes_sent", Value: intVar(n.traffic.Sent())},
		{Key: "stoatmount.control_bytes_sent_by_message", Value: n.messageVar()},
		{Key: "stoatmount.in_progress", Value: intVar(n.inProgress.Load())},
		{Key: "stoatmount.invariants", Value: n.invariantVar()},
		{Key: "stoatmount.kinds", Value: n.recorder.Var()},
		{Key: "stoatmount.ledger_appends", Value: intVar(n.ledger.Stats().Appends)},
		{Key: "stoatmount.memory_bytes", Value: intVar(int64(memoryBytes()))},
		{Key: "stoatmount.moves", Value: intVar(n.counters.moves.Load())},
		{Key: "stoatmount.moves_failed", Value: intVar(n.counters.movesFailed.Load())},
		{Key: "stoatmount.peer_links", Value: intVar(int64(n.links.Count()))},
		{Key: "stoatmount.permits_held", Value: intVar(int64(n.holder.Len()))},
		{Key: "stoatmount.tasks_dropped", Value: intVar(n.counters.dropped.Load())},
	}
}

func intVar(value int64) expvar.Var {
	v := new(expvar.Int)
	v.Set(value)
	return v
}

func (n *Node) invariantVar() expvar.Var {
	counts := new(expvar.Map)
	for _, name := range invariant.Names() {
		counts.Add(string(name), n.invariants.Count(name))
	}
	return counts
}

// messageVar returns the bytes sent to other routers by type of message.
func (n *Node) messageVar() expvar.Var {
	counts := new(expvar.Map)
	for messageType, bytes := range n.traffic.SentByType() {
		counts.Add(messageType, bytes)
	}
	return counts
}
