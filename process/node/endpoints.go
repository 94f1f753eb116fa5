package node

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/process/reconcile"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// loadPollInterval is the time between two load reports of a polled endpoint.
	loadPollInterval = 500 * time.Millisecond
	// eventPollInterval is the time between two requests for cache events.
	eventPollInterval = 2 * time.Second
	// reconcileInterval is the time between reconciliations and their reports' maximum age.
	reconcileInterval = 2 * time.Second
	// moveInterval is the time between two batches of cache moves.
	moveInterval = time.Second
	// moveTimeout bounds one move of a chat's cache.
	moveTimeout = 2 * time.Second
	// maxMovesPerBatch bounds the chats moved from one endpoint per batch.
	maxMovesPerBatch = 16
)

// pollLoads requests load reports from the endpoints that this router must poll.
func (n *Node) pollLoads(_ context.Context, now time.Time) {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return
	}
	for _, name := range n.owner.EndpointsToPoll(now) {
		if target := snapshot.Endpoint(name); target != nil {
			n.Background(func() { n.pollLoad(target) })
		}
	}
}

func (n *Node) pollLoad(target *config.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	askedAt := n.clock.Now()
	report, err := n.endpointClient.Load(ctx, target.Address)
	now := n.clock.Now()
	if err != nil {
		n.owner.HandleLoadFailure(now, target.Name)
		return
	}
	n.loadReports.put(now, target.Name, report)
	n.hints.SetDraining(target.Name, report.Draining)
	n.directory.SetIncarnation(target.Name, report.Incarnation)
	n.pendingPermits.deliver(n.owner.HandleLoadReport(now, target.Name, &report, askedAt))
}

// pollCacheEvents requests cache events from the polled endpoints of models.
func (n *Node) pollCacheEvents(_ context.Context, now time.Time) {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return
	}
	for _, name := range n.owner.EndpointsToPoll(now) {
		if target := snapshot.Endpoint(name); target != nil && target.Model != "" {
			n.Background(func() { n.pollEvents(target) })
		}
	}
}

func (n *Node) pollEvents(target *config.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	page, err := n.endpointClient.CacheEvents(ctx, target.Address, n.directory.NextEvent(target.Name))
	if err == nil { // otherwise the next interval asks again
		n.directory.ApplyEvents(n.clock.Now(), target.Name, page)
	}
}

// moveCache moves the chat's cache to the chosen endpoint before the request is
// sent there. If that fails, the prefix is computed again.
func (n *Node) moveCache(ctx context.Context, job *serve.Job, c *candidates.Candidate) {
	from := job.Snapshot.Endpoint(c.MoveFrom)
	if from == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if err := n.endpointClient.MoveCache(ctx, from.Address, c.Endpoint.Address, job.Session()); err != nil {
		n.counters.movesFailed.Add(1)
		return
	}
	n.counters.moves.Add(1)
}

// moveChats moves the most valuable chats of endpoints that are draining or out of
// service, at a bounded rate.
func (n *Node) moveChats(_ context.Context, now time.Time) {
	snapshot, selector := n.follower.Snapshot(), n.selector.Load()
	if snapshot == nil || selector == nil {
		return
	}
	for i := range snapshot.Config.Endpoints {
		e := &snapshot.Config.Endpoints[i]
		if e.Model == "" || !n.owns(now, member.DutyAdmission, e.Name) {
			continue
		}
		report, ok := n.loadReports.get(e.Name)
		if !ok || !report.Draining && !snapshot.IndexOutOfService(i) {
			continue // no report yet, or neither draining nor out of service
		}
		n.moveChatsFrom(now, snapshot, selector, e)
	}
}

func (n *Node) owns(now time.Time, duty member.Duty, key string) bool {
	owner, ok := n.members.OwnerFor(now, duty, key)
	return ok && owner.Name == n.self.Name
}

func (n *Node) moveChatsFrom(now time.Time, snapshot *config.Snapshot, selector *candidates.Selector, e *config.Endpoint) {
	cached := n.directory.ChatsCachedBy(e.Name)
	chats := make([]candidates.CachedChat, 0, len(cached))
	for _, h := range cached {
		chats = append(chats, candidates.CachedChat{Chat: h.Chat, Tokens: h.Tokens, Idle: now.Sub(h.At)})
	}
	model := snapshot.Model(e.Model)
	if model == nil {
		return
	}
	tokens := int(float64(model.MovePerSecond) * moveInterval.Seconds())
	moves := selector.Moves(now, e, chats, tokens)
	for _, move := range moves[:min(len(moves), maxMovesPerBatch)] {
		to := snapshot.Endpoint(move.To)
		if to != nil {
			n.Background(func() { n.moveChat(e, to, move.Chat, move.Tokens) })
		}
	}
}

func (n *Node) moveChat(from, to *config.Endpoint, chat placetoken.Chat, tokens int) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	if err := n.endpointClient.MoveCache(ctx, from.Address, to.Address, chat.Session()); err != nil {
		n.counters.movesFailed.Add(1)
		return
	}
	n.counters.moves.Add(1)
	n.recordPlacement(to.Model, chat, to.Name, n.hints.Incarnation(to.Name), tokens)
}

// reconcileOrders compares the endpoints of each model for which this router has
// DutyOrders with the configuration, and sends orders.
func (n *Node) reconcileOrders(_ context.Context, now time.Time) {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return
	}
	for i := range snapshot.Config.Models {
		model := snapshot.Config.Models[i].Name
		since := n.duties.update(now, "orders/"+model, n.owns(now, member.DutyOrders, model))
		if !since.IsZero() {
			n.Background(func() { n.reconcileModel(snapshot, model, since) })
		}
	}
}

func (n *Node) reconcileModel(snapshot *config.Snapshot, model string, since time.Time) {
	reports := make(map[string]reconcile.Report)
	for _, i := range snapshot.GroupEndpoints(model) {
		e := &snapshot.Config.Endpoints[i]
		if report, ok := n.freshReport(e); ok {
			reports[e.Name] = report
		}
	}
	orders := n.reconcilers.plan(model, reconcile.Input{
		Now: n.clock.Now(), Snapshot: snapshot, Reports: reports,
		Fresh: n.follower.Fresh(n.clock.Now()), OwnerSince: since, Lease: n.settings.Member.Promise.Std() + reconcile.OrderTimeout,
	})
	for _, order := range orders {
		n.Background(func() { n.sendOrder(model, order) })
	}
}

// freshReport returns a load report of e, a new one if the last is too old.
func (n *Node) freshReport(e *config.Endpoint) (reconcile.Report, bool) {
	report, ok := n.loadReports.get(e.Name)
	if ok && n.clock.Since(report.At) < reconcileInterval {
		return report, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	fresh, err := n.endpointClient.Load(ctx, e.Address)
	if err != nil {
		return reconcile.Report{}, false
	}
	n.loadReports.put(n.clock.Now(), e.Name, fresh)
	return n.loadReports.get(e.Name)
}

func (n *Node) sendOrder(model string, planned reconcile.PlannedOrder) {
	now := n.clock.Now()
	if now.After(planned.SendBy) {
		n.reconcilers.recordOutcome(model, planned.Endpoint, reconcile.NotSent, now)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), planned.ResponseBy.Sub(now))
	defer cancel()
	result := reconcile.Accepted
	if err := n.endpointClient.Order(ctx, planned.Address, planned.Order); err != nil {
		result = orderOutcome(err)
		n.log.Info("order failed", "endpoint", planned.Endpoint, "error", err.Error())
	}
	n.reconcilers.recordOutcome(model, planned.Endpoint, result, n.clock.Now())
}
