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
	// loadTimeout is the time within which an endpoint that accepted an order
	// must report that it serves accordingly.
	loadTimeout = 15 * time.Minute
	// retryPause is the time after a rejected or failed order before the next is
	// sent to the endpoint.
	retryPause = 10 * time.Second
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 10 * time.Second
	// headroom is the ratio of capacity to load that the remaining endpoints of a
	// model must have while others load weights.
	headroom = 1.25
	// clockMargin is added to the wait for earlier owners, as clocks run at
	// slightly different rates.
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
	// Fresh says that the configuration is fresh enough to act on.
	Fresh bool
	// OwnerSince is when this router became the owner of the model; zero: it is
	// not the owner.
	OwnerSince time.Time
	// Lease is how long an earlier owner may still act after that time.
	Lease time.Duration
}

// Command is an order to send.
type Command struct {
	Endpoint string
	Address  netip.AddrPort
	Order    protocol.Order
	SendBy   time.Time // the order must not be sent after this time
	AnswerBy time.Time // the connection must be closed at this time
}

// Outcome is the outcome of a Command.
type Outcome int

// The outcomes.
const (
	Failed   Outcome = iota // no response; the endpoint may have accepted the order
	Accepted                // the endpoint accepted the order
	Rejected                // the endpoint rejected the order
	NotSent                 // the order was not sent, as SendBy had passed
)

// outstanding is the last order sent to an endpoint.
type outstanding struct {
	order      protocol.Order
	responseBy time.Time
	loadBy     time.Time // zero: the endpoint has not accepted it
	nextTry    time.Time
	responded  bool
}

// Reconciler decides on orders for the endpoints of one model. It is not safe
// for concurrent use.
type Reconciler struct {
	model      string
	orders     map[string]*outstanding
	tokens     float64 // token bucket of loads from the weight store
	lastRefill time.Time
	refilled   bool
}

// New returns a Reconciler for the endpoints of model.
func New(model string) *Reconciler {
	return &Reconciler{model: model, orders: make(map[string]*outstanding)}
}

// Plan returns the orders to send at in.Now and records each as outstanding.
func (r *Reconciler) Plan(in Input) []Command {
	if in.OwnerSince.IsZero() {
		r.orders = make(map[string]*outstanding)
		r.refilled = false
		return nil
	}
	r.refillTokens(in)
	if !in.Fresh {
		return nil
	}
	var commands []Command
	for _, i := range in.Snapshot.GroupEndpoints(r.model) {
		e := &in.Snapshot.Config.Endpoints[i]
		order, wanted := r.wanted(in, e)
		if !wanted || !r.mayOrder(in, e, order) || !r.mayLoad(in, e) {
			continue
		}
		r.tokens--
		commands = append(commands, r.recordCommand(in, e, order))
	}
	return commands
}

// wanted returns the order that makes e serve what the configuration wants. It
// returns false if e already does, is loading or draining, or has no recent
// report.
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
	if !ok || report.Draining || report.Loading || serves(report, order) {
		return order, false
	}
	return order, true
}

func recentReport(in Input, endpoint string) (Report, bool) {
	report, ok := in.Reports[endpoint]
	return report, ok && !report.At.IsZero() && in.Now.Sub(report.At) <= maxReportAge
}

func serves(report Report, order protocol.Order) bool {
	return report.Model == order.Model && report.Version == order.Version &&
		report.Adapter == order.Adapter && report.Role == order.Role
}

// mayOrder reports whether an order may be sent to e now: no earlier owner and
// no outstanding order can interfere.
func (r *Reconciler) mayOrder(in Input, e *config.Endpoint, order protocol.Order) bool {
	if in.Reports[e.Name].Fence > order.Fence {
		return false // another router has sent orders of a newer configuration
	}
	if !e.ChecksFence {
		clear := in.OwnerSince.Add(in.Lease + OrderTimeout + clockMargin)
		if in.Now.Before(clear) {
			return false
		}
	}
	last := r.orders[e.Name]
	if last == nil {
		return true
	}
	if !last.responded && in.Now.Before(last.responseBy.Add(clockMargin)) {
		return false
	}
	if in.Now.Before(last.nextTry) {
		return false
	}
	same := sameTarget(last.order, order)
	return !same || in.Now.After(last.loadBy)
}

// sameTarget reports whether a and b differ in their fencing token only.
func sameTarget(a, b protocol.Order) bool {
	b.Fence = a.Fence
	return a == b
}

// mayLoad reports whether e may load weights now: the model's share of the
// weight store's rate allows it, and the other endpoints of the model have
// enough capacity for the load without e.
func (r *Reconciler) mayLoad(in Input, e *config.Endpoint) bool {
	if r.tokens < 1 {
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
	return load == 0 || float64(rest) >= headroom*float64(load)
}

// serving reports whether e serves requests of the model now.
func (r *Reconciler) serving(in Input, e *config.Endpoint) bool {
	report, ok := recentReport(in, e.Name)
	if !ok || report.Loading || report.Draining || report.Model != r.model || in.Snapshot.EndpointOutOfService(e.Name) {
		return false
	}
	last := r.orders[e.Name]
	inFlight := last != nil && !serves(report, last.order) &&
		(!last.responded && in.Now.Before(last.responseBy) || in.Now.Before(last.loadBy))
	return !inFlight
}

// capacity returns the capacity of e, cold or warm by its last report.
func capacityOf(e *config.Endpoint, report Report) int {
	if report.Completed < uint64(e.WarmAfter) {
		return e.ColdCapacity
	}
	return e.Capacity
}

// refillTokens adds tokens at the rate of the model's share. A new owner starts
// without tokens, as the earlier one may just have used them.
func (r *Reconciler) refillTokens(in Input) {
	if !r.refilled {
		r.refilled = true
		r.lastRefill = in.Now
		r.tokens = 0
		return
	}
	elapsed := in.Now.Sub(r.lastRefill).Minutes()
	r.lastRefill = in.Now
	r.tokens = min(1, r.tokens+max(0, elapsed)*Share(in.Snapshot, r.model))
}

// Share returns the loads per minute that the endpoints of model may request
// from the weight store.
func Share(s *config.Snapshot, model string) float64 {
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

func (r *Reconciler) recordCommand(in Input, e *config.Endpoint, order protocol.Order) Command {
	responseBy := in.Now.Add(OrderTimeout)
	r.orders[e.Name] = &outstanding{order: order, responseBy: responseBy}
	return Command{
		Endpoint: e.Name, Address: e.Address, Order: order,
		SendBy: in.Now.Add(min(in.Lease, OrderTimeout) / 2), AnswerBy: responseBy,
	}
}

// RecordOutcome records the outcome of the last order to endpoint.
func (r *Reconciler) RecordOutcome(endpoint string, outcome Outcome, now time.Time) {
	last := r.orders[endpoint]
	if last == nil {
		return
	}
	switch outcome {
	case Accepted:
		last.responded = true
		last.loadBy = now.Add(loadTimeout)
	case Rejected, NotSent:
		last.responded = true
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
		if report, ok := recentReport(in, e.Name); !ok || !serves(report, order) {
			names = append(names, e.Name)
		}
	}
	return names
}
