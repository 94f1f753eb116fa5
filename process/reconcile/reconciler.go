package reconcile

import (
	"net/netip"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// OrderTimeout is the time within which an order must have been answered.
	// The sender closes the connection then.
	OrderTimeout = 5 * time.Second
	// loadDeadline is the time within which an endpoint that took an order
	// must report that it obeyed.
	loadDeadline = 15 * time.Minute
	// retryPause is the time after a refused or failed order before another is
	// sent to the endpoint.
	retryPause = 10 * time.Second
	// reportAge is the age up to which a load report is believed.
	reportAge = 10 * time.Second
	// headroom is how much more than the load the remaining endpoints of a
	// model must bear while others load.
	headroom = 1.25
	// clockMargin is added to the wait for earlier holders, as clocks run at
	// slightly different rates.
	clockMargin = 500 * time.Millisecond
)

// Report is the last load report of an endpoint.
type Report struct {
	protocol.LoadReport
	At time.Time // when it arrived; zero: never
}

// Input is what a decision is made on.
type Input struct {
	Now      time.Time
	Snapshot *config.Snapshot
	Reports  map[string]Report // by endpoint
	// Fresh says that the configuration may be acted on.
	Fresh bool
	// OwnerSince is when this router became the holder of the duty; zero: it is
	// not.
	OwnerSince time.Time
	// Lease is how long an earlier holder may act after that time.
	Lease time.Duration
}

// Command is an order to send.
type Command struct {
	Endpoint string
	Address  netip.AddrPort
	Order    protocol.Order
	SendBy   time.Time // it must not be sent after this time
	AnswerBy time.Time // the connection must be closed at this time
}

// Outcome is what became of a Command.
type Outcome int

// The outcomes.
const (
	Failed   Outcome = iota // no answer; the endpoint may have obeyed
	Accepted                // the endpoint took the order
	Rejected                // the endpoint refused it
	NotSent                 // it was not sent, as SendBy had passed
)

// outstanding is the last order sent to an endpoint.
type outstanding struct {
	order    protocol.Order
	answerBy time.Time
	obeyBy   time.Time // zero: the endpoint has not taken it
	nextTry  time.Time
	answered bool
}

// Reconciler decides on the orders for one model. It is not safe for
// concurrent use.
type Reconciler struct {
	model   string
	orders  map[string]*outstanding
	tokens  float64 // loads that the weight store may be asked for
	refill  time.Time
	lastSet bool
}

// New returns a Reconciler for the endpoints of model.
func New(model string) *Reconciler {
	return &Reconciler{model: model, orders: make(map[string]*outstanding)}
}

// Plan returns the orders to send at in.Now. Each is noted as outstanding.
func (r *Reconciler) Plan(in Input) []Command {
	if in.OwnerSince.IsZero() {
		r.orders = make(map[string]*outstanding)
		r.lastSet = false
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
		commands = append(commands, r.note(in, e, order))
	}
	return commands
}

// wanted returns the order that brings e to what the configuration wants, or
// false if e is there or on its way.
func (r *Reconciler) wanted(in Input, e *config.Endpoint) (protocol.Order, bool) {
	model := in.Snapshot.Model(e.Model)
	if model == nil {
		return protocol.Order{}, false
	}
	order := protocol.Order{
		Fence: uint64(in.Snapshot.Version), Model: model.Name, Version: model.Version,
		Adapter: model.Adapter, Role: e.Role,
	}
	report, ok := believed(in, e.Name)
	if !ok || report.Draining || report.Loading || serves(report, order) {
		return order, false
	}
	return order, true
}

func believed(in Input, endpoint string) (Report, bool) {
	report, ok := in.Reports[endpoint]
	return report, ok && !report.At.IsZero() && in.Now.Sub(report.At) <= reportAge
}

func serves(report Report, order protocol.Order) bool {
	return report.Model == order.Model && report.Version == order.Version &&
		report.Adapter == order.Adapter && report.Role == order.Role
}

// mayOrder reports whether e may get an order at all at this time.
func (r *Reconciler) mayOrder(in Input, e *config.Endpoint, order protocol.Order) bool {
	if in.Reports[e.Name].Fence > order.Fence {
		return false // somebody with a newer configuration gave orders
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
	if !last.answered && in.Now.Before(last.answerBy.Add(clockMargin)) {
		return false
	}
	if in.Now.Before(last.nextTry) {
		return false
	}
	same := sameWish(last.order, order)
	return !same || in.Now.After(last.obeyBy)
}

// sameWish reports whether a and b want an endpoint to serve the same.
func sameWish(a, b protocol.Order) bool {
	b.Fence = a.Fence
	return a == b
}

// mayLoad reports whether e may load weights now: the weight store's share
// allows it, and the other endpoints of the model bear the load without e.
func (r *Reconciler) mayLoad(in Input, e *config.Endpoint) bool {
	if r.tokens < 1 {
		return false
	}
	if !r.bearing(in, e) {
		return true
	}
	load, rest := 0, 0
	for _, i := range in.Snapshot.GroupEndpoints(r.model) {
		other := &in.Snapshot.Config.Endpoints[i]
		report, ok := believed(in, other.Name)
		if ok {
			load += report.Running + report.Queued
		}
		if other.Name != e.Name && r.bearing(in, other) {
			rest += bears(other, report)
		}
	}
	return load == 0 || float64(rest) >= headroom*float64(load)
}

// bearing reports whether e serves the model's requests at this time.
func (r *Reconciler) bearing(in Input, e *config.Endpoint) bool {
	report, ok := believed(in, e.Name)
	if !ok || report.Loading || report.Draining || report.Model != r.model || in.Snapshot.EndpointOutOfService(e.Name) {
		return false
	}
	last := r.orders[e.Name]
	inFlight := last != nil && !serves(report, last.order) &&
		(!last.answered && in.Now.Before(last.answerBy) || in.Now.Before(last.obeyBy))
	return !inFlight
}

// bears returns the requests that e bears by its last report.
func bears(e *config.Endpoint, report Report) int {
	if report.Completed < uint64(e.WarmAfter) {
		return e.ColdCapacity
	}
	return e.Capacity
}

// refillTokens adds the model's share of the weight store's rate. A new holder
// starts without, as the earlier one may just have used it.
func (r *Reconciler) refillTokens(in Input) {
	if !r.lastSet {
		r.lastSet = true
		r.refill = in.Now
		r.tokens = 0
		return
	}
	elapsed := in.Now.Sub(r.refill).Minutes()
	r.refill = in.Now
	r.tokens = min(1, r.tokens+max(0, elapsed)*Share(in.Snapshot, r.model))
}

// Share returns the loads per minute that the endpoints of model may ask of the
// weight store.
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

func (r *Reconciler) note(in Input, e *config.Endpoint, order protocol.Order) Command {
	answerBy := in.Now.Add(OrderTimeout)
	r.orders[e.Name] = &outstanding{order: order, answerBy: answerBy}
	return Command{
		Endpoint: e.Name, Address: e.Address, Order: order,
		SendBy: in.Now.Add(min(in.Lease, OrderTimeout) / 2), AnswerBy: answerBy,
	}
}

// RecordOutcome takes what became of the last order to endpoint.
func (r *Reconciler) RecordOutcome(endpoint string, outcome Outcome, now time.Time) {
	last := r.orders[endpoint]
	if last == nil {
		return
	}
	switch outcome {
	case Accepted:
		last.answered = true
		last.obeyBy = now.Add(loadDeadline)
	case Rejected, NotSent:
		last.answered = true
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
		if report, ok := believed(in, e.Name); !ok || !serves(report, order) {
			names = append(names, e.Name)
		}
	}
	return names
}
