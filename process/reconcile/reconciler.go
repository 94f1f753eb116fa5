package reconcile

import (
	"net/netip"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// OrderTimeout is the time within which an endpoint must respond to an order.
	// The sender then closes the connection.
	OrderTimeout = 5 * time.Second
	// weightLoadTimeout is the time within which an endpoint that accepted an order
	// must report that it serves accordingly.
	weightLoadTimeout = 15 * time.Minute
	// retryPause is the time after an order that was rejected, failed or not sent
	// before the next is sent to the endpoint.
	retryPause = 10 * time.Second
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 10 * time.Second
	// minCapacityRatio is the least ratio of the capacity of a model's endpoints that
	// go on serving to the load (requests running or queued) of all its endpoints.
	minCapacityRatio = 1.25
	// clockMargin is added to waits for other processes (earlier owners, responses),
	// as clocks run at slightly different rates.
	clockMargin = 500 * time.Millisecond
)

// Report is the last load report of an endpoint.
type Report struct {
	protocol.LoadReport
	At time.Time // when it arrived; zero: never
}

// Input is the input of a decision.
type Input struct {
	Now      time.Time
	Snapshot *config.Snapshot
	Reports  map[string]Report // by endpoint
	// Fresh says that the configuration was confirmed recently enough to act on.
	Fresh bool
	// OwnerSince is when this router became the owner of the model; zero: it is
	// not the owner.
	OwnerSince time.Time
	// Lease is how long after OwnerSince an earlier owner may still act.
	Lease time.Duration
}

// PlannedOrder is an order to send.
type PlannedOrder struct {
	Endpoint   string
	Address    netip.AddrPort
	Order      protocol.Order
	SendBy     time.Time // the order must not be sent after this time
	ResponseBy time.Time // the connection must be closed at this time
}

// Outcome is the outcome of a PlannedOrder.
type Outcome int

// The outcomes.
const (
	Failed   Outcome = iota // no response; the endpoint may have accepted the order
	Accepted                // the endpoint accepted the order
	Rejected                // the endpoint rejected the order
	NotSent                 // the order was not sent, as SendBy had passed
)

// lastOrder is the last order planned for an endpoint.
type lastOrder struct {
	order           protocol.Order
	responseBy      time.Time
	weightsLoadedBy time.Time // zero: the endpoint has not accepted it
	nextTry         time.Time
	outcomeKnown    bool // also false after Failed: the endpoint may have accepted it
}

// Reconciler decides on orders for the endpoints of one model. It is not safe
// for concurrent use.
type Reconciler struct {
	model            string
	orders           map[string]*lastOrder
	weightLoadTokens float64 // token bucket of loads from the weight store
	lastRefill       time.Time
	refilled         bool // lastRefill is set
}

// New returns a Reconciler for the endpoints of model.
func New(model string) *Reconciler {
	return &Reconciler{model: model, orders: make(map[string]*lastOrder)}
}

// Plan returns the orders to send at in.Now and records each for its endpoint.
func (r *Reconciler) Plan(in Input) []PlannedOrder {
	if in.OwnerSince.IsZero() {
		r.orders = make(map[string]*lastOrder)
		r.refilled = false
		return nil
	}
	r.refillTokens(in)
	if !in.Fresh {
		return nil
	}
	var orders []PlannedOrder
	for _, i := range in.Snapshot.GroupEndpoints(r.model) {
		e := &in.Snapshot.Config.Endpoints[i]
		order, wanted := r.wanted(in, e)
		if !wanted || !r.mayOrder(in, e, order) || !r.mayLoadWeights(in, e) {
			continue
		}
		r.weightLoadTokens--
		orders = append(orders, r.recordOrder(in, e, order))
	}
	return orders
}

// wanted returns the order that makes e serve what the configuration wants, and
// false if e already does, is loading or draining, or has no recent report.
func (r *Reconciler) wanted(in Input, e *config.Endpoint) (protocol.Order, bool) {
	model := in.Snapshot.Model(e.Model)
	if model == nil {
		return protocol.Order{}, false
	}
	order := protocol.Order{
		Fence: uint64(in.Snapshot.Version), Model: model.Name, Version: model.Version,
		Adapter: model.Adapter, Role: e.Role,
	}
	report, ok := recentReport(in, e.Name)
	if !ok || report.Draining || report.Loading || matches(report, order) {
		return order, false
	}
	return order, true
}

func recentReport(in Input, endpoint string) (Report, bool) {
	report, ok := in.Reports[endpoint]
	return report, ok && !report.At.IsZero() && in.Now.Sub(report.At) <= maxReportAge
}

func matches(report Report, order protocol.Order) bool {
	return report.Model == order.Model && report.Version == order.Version &&
		report.Adapter == order.Adapter && report.Role == order.Role
}

// mayOrder reports whether an order may be sent to e now: neither an earlier owner
// nor the last order can interfere, and the pause after a failure is over.
func (r *Reconciler) mayOrder(in Input, e *config.Endpoint, order protocol.Order) bool {
	if in.Reports[e.Name].Fence > order.Fence {
		return false // another router has sent orders of a newer configuration
	}
	if !e.ChecksFence {
		clearAt := in.OwnerSince.Add(in.Lease + OrderTimeout + clockMargin)
		if in.Now.Before(clearAt) {
			return false
		}
	}
	last := r.orders[e.Name]
	if last == nil {
		return true
	}
	if !last.outcomeKnown && in.Now.Before(last.responseBy.Add(clockMargin)) {
		return false
	}
	if in.Now.Before(last.nextTry) {
		return false
	}
	same := sameTarget(last.order, order)
	return !same || in.Now.After(last.weightsLoadedBy) // until then e may be loading the same weights
}

// sameTarget reports whether a and b differ in their fencing token only.
func sameTarget(a, b protocol.Order) bool {
	b.Fence = a.Fence
	return a == b
}

// mayLoadWeights reports whether e may load weights now: the model's share of the
// weight store's rate allows it, and e is not needed: it takes no requests, the
// model has no load, or the other endpoints have minCapacityRatio times the load.
func (r *Reconciler) mayLoadWeights(in Input, e *config.Endpoint) bool {
	if r.weightLoadTokens < 1 {
		return false
	}
	if !r.serving(in, e) {
		return true
	}
	load, rest := 0, 0
	for _, i := range in.Snapshot.GroupEndpoints(r.model) {
		other := &in.Snapshot.Config.Endpoints[i]
		report, ok := recentReport(in, other.Name)
		if ok {
			load += report.Running + report.Queued
		}
		if other.Name != e.Name && r.serving(in, other) {
			rest += capacityOf(other, report)
		}
	}
	return load == 0 || float64(rest) >= minCapacityRatio*float64(load)
}

// serving reports whether e can take requests of the model now, and is not about
// to load weights by an order.
func (r *Reconciler) serving(in Input, e *config.Endpoint) bool {
	report, ok := recentReport(in, e.Name)
	if !ok || report.Loading || report.Draining || report.Model != r.model || in.Snapshot.EndpointOutOfService(e.Name) {
		return false
	}
	last := r.orders[e.Name]
	mayBeLoading := last != nil && !matches(report, last.order) &&
		(!last.outcomeKnown && in.Now.Before(last.responseBy) || in.Now.Before(last.weightsLoadedBy))
	return !mayBeLoading
}

// capacityOf returns the capacity of e, cold or warm by the requests it completed.
func capacityOf(e *config.Endpoint, report Report) int {
	if report.Completed < uint64(e.WarmAfter) {
		return e.ColdCapacity
	}
	return e.Capacity
}

// refillTokens adds tokens at the rate of the model's share, up to one. A new
// owner starts without tokens, as the earlier one may just have used them.
func (r *Reconciler) refillTokens(in Input) {
	if !r.refilled {
		r.refilled = true
		r.lastRefill = in.Now
		r.weightLoadTokens = 0
		return
	}
	elapsed := in.Now.Sub(r.lastRefill).Minutes()
	r.lastRefill = in.Now
	r.weightLoadTokens = min(1, r.weightLoadTokens+max(0, elapsed)*WeightLoadRate(in.Snapshot, r.model))
}

// WeightLoadRate returns how many loads of weights per minute the endpoints of
// model may request from the weight store.
func WeightLoadRate(s *config.Snapshot, model string) float64 {
	all := 0
	for i := range s.Config.Endpoints {
		if s.Config.Endpoints[i].Model != "" {
			all++
		}
	}
	if all == 0 {
		return 0
	}
	mine := len(s.GroupEndpoints(model))
	return float64(s.Config.Limits.WeightLoadsPerMinute) * float64(mine) / float64(all)
}

func (r *Reconciler) recordOrder(in Input, e *config.Endpoint, order protocol.Order) PlannedOrder {
	responseBy := in.Now.Add(OrderTimeout)
	r.orders[e.Name] = &lastOrder{order: order, responseBy: responseBy}
	return PlannedOrder{
		Endpoint: e.Name, Address: e.Address, Order: order,
		SendBy: in.Now.Add(min(in.Lease, OrderTimeout) / 2), ResponseBy: responseBy,
	}
}

// RecordOutcome records the outcome of the last order to endpoint, if there is one.
func (r *Reconciler) RecordOutcome(endpoint string, outcome Outcome, now time.Time) {
	last := r.orders[endpoint]
	if last == nil {
		return
	}
	switch outcome {
	case Accepted:
		last.outcomeKnown = true
		last.weightsLoadedBy = now.Add(weightLoadTimeout)
	case Rejected, NotSent:
		last.outcomeKnown = true
		last.nextTry = now.Add(retryPause)
	case Failed:
		last.nextTry = now.Add(retryPause)
	}
}

// Pending returns the endpoints of the model that do not yet report what the
// configuration wants.
func (r *Reconciler) Pending(in Input) []string {
	var names []string
	for _, i := range in.Snapshot.GroupEndpoints(r.model) {
		e := &in.Snapshot.Config.Endpoints[i]
		order, _ := r.wanted(in, e)
		if report, ok := recentReport(in, e.Name); !ok || !matches(report, order) {
			names = append(names, e.Name)
		}
	}
	return names
}
