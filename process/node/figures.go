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

// rateEvery is the time over which rates are taken.
const rateEvery = 5 * time.Second

// figures counts what a process does. The zero value is usable; mu is a leaf.
type figures struct {
	dropped     atomic.Int64 // background tasks that found no worker
	moves       atomic.Int64
	movesFailed atomic.Int64
	controlRate atomic.Int64 // bytes per second with other routers

	mu        sync.Mutex
	codes     map[outcome.Code]int64
	active    map[string]int
	rateBytes int64
	rateAt    time.Time
}

func (f *figures) count(code outcome.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.codes == nil {
		f.codes = make(map[outcome.Code]int64)
	}
	f.codes[code]++
}

func (f *figures) begin(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil {
		f.active = make(map[string]int)
	}
	f.active[kind]++
}

func (f *figures) end(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active[kind]--
}

// kinds returns the requests in progress by kind, sorted by name.
func (f *figures) kinds() []plan.KindLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]plan.KindLoad, 0, len(f.active))
	for _, kind := range slices.Sorted(maps.Keys(f.active)) {
		loads = append(loads, plan.KindLoad{Kind: kind, Count: f.active[kind]})
	}
	return loads
}

// codeCounts returns the answers by result code.
func (f *figures) codeCounts() *expvar.Map {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := new(expvar.Map)
	for code, count := range f.codes {
		counts.Add(strconv.Itoa(int(code)), count)
	}
	return counts
}

// measureRates takes the rate of control traffic.
func (n *Node) measureRates(_ context.Context, now time.Time) {
	total := n.traffic.Sent() + n.traffic.Received()
	f := &n.figures
	f.mu.Lock()
	defer f.mu.Unlock()
	if elapsed := now.Sub(f.rateAt).Seconds(); !f.rateAt.IsZero() && elapsed > 0 {
		f.controlRate.Store(int64(float64(total-f.rateBytes) / elapsed))
	}
	f.rateBytes, f.rateAt = total, now
}

// memoryMetric is the memory that the Go runtime has from the system, in
// bytes.
const memoryMetric = "/memory/classes/total:bytes"

func memoryBytes() uint64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Vars implements operator.Controller.
func (n *Node) Vars() []expvar.KeyValue {
	return []expvar.KeyValue{
		{Key: "stoatmount.codes", Value: n.figures.codeCounts()},
		{Key: "stoatmount.config_version", Value: intVar(int64(n.follower.Status().Version))},
		{Key: "stoatmount.connections", Value: intVar(n.callers.Connections())},
		{Key: "stoatmount.control_bytes_received", Value: intVar(n.traffic.Received())},
		{Key: "stoatmount.control_bytes_sent", Value: intVar(n.traffic.Sent())},
		{Key: "stoatmount.control_bytes_sent_by_message", Value: n.messageVar()},
		{Key: "stoatmount.in_progress", Value: intVar(n.inProgress.Load())},
		{Key: "stoatmount.invariants", Value: n.invariantVar()},
		{Key: "stoatmount.kinds", Value: n.recorder.Var()},
		{Key: "stoatmount.ledger_appends", Value: intVar(n.ledger.Stats().Appends)},
		{Key: "stoatmount.memory_bytes", Value: intVar(int64(memoryBytes()))},
		{Key: "stoatmount.moves", Value: intVar(n.figures.moves.Load())},
		{Key: "stoatmount.moves_failed", Value: intVar(n.figures.movesFailed.Load())},
		{Key: "stoatmount.peer_links", Value: intVar(int64(n.links.Count()))},
		{Key: "stoatmount.permits_held", Value: intVar(int64(n.holder.Len()))},
		{Key: "stoatmount.tasks_dropped", Value: intVar(n.figures.dropped.Load())},
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
		counts.Add(string(name), n.check.Count(name))
	}
	return counts
}

// messageVar returns the bytes sent to other routers by kind of message.
func (n *Node) messageVar() expvar.Var {
	counts := new(expvar.Map)
	for kind, bytes := range n.traffic.SentByType() {
		counts.Add(kind, bytes)
	}
	return counts
}
