package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// serving is the model that an engine serves, with the state of its orders.
type serving struct {
	model   string
	version string
	adapter string
	role    string
	fence   uint64 // highest fencing token obeyed
	loading bool
}

func newServing(o Options) serving {
	return serving{model: o.Model, version: o.Version, adapter: o.Adapter, role: o.Role}
}

// sameWeights reports whether order needs no weights loaded.
func (s *serving) sameWeights(order protocol.Order) bool {
	return s.model == order.Model && s.version == order.Version && s.adapter == order.Adapter
}

// ReceivedOrder is an order that an engine received.
type ReceivedOrder struct {
	At     time.Time
	Order  protocol.Order
	Obeyed bool
}

// handleOrder responds with 202 if the order is accepted and weights are loading, 200 if nothing
// had to be done, and 409 if its fencing token is old and ChecksFence is set, if another order is
// in progress, or if the engine is down.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order protocol.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "the body must be an order", http.StatusBadRequest)
		return
	}
	status := e.applyOrder(order)
	if status == http.StatusConflict {
		w.Header().Set(protocol.HeaderNotRun, "true")
	}
	httpserver.WriteJSON(w, status, e.Load())
}

func (e *Engine) applyOrder(order protocol.Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.serving.fence
	obeyed := !e.down && !e.serving.loading && !(stale && e.options.ChecksFence)
	e.recorder.orders = appendBounded(e.recorder.orders, ReceivedOrder{At: e.clock.Now(), Order: order, Obeyed: obeyed})
	if !obeyed {
		return http.StatusConflict
	}
	if stale {
		e.recorder.StaleOrders++
	}
	e.serving.fence = max(e.serving.fence, order.Fence)
	e.serving.role = order.Role
	if e.serving.sameWeights(order) {
		e.sampleLocked()
		return http.StatusOK
	}
	e.serving.loading = true
	e.sampleLocked()
	incarnation := e.incarnation
	e.Go(func() { e.loadOrder(order, incarnation) })
	return http.StatusAccepted
}

// loadOrder waits for the requests in progress, loads the weights and starts a
// new, cold incarnation with them.
func (e *Engine) loadOrder(order protocol.Order, incarnation uint64) {
	if !e.awaitIdle() {
		return
	}
	err := e.loadWeights(e.lifetime, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving.loading = false
	if err != nil || incarnation != e.incarnation {
		e.sampleLocked()
		return
	}
	e.serving.model, e.serving.version, e.serving.adapter = order.Model, order.Version, order.Adapter
	e.restartLocked()
}

func (e *Engine) loadWeights(ctx context.Context, order protocol.Order) error {
	if e.options.Weights == nil {
		return nil
	}
	return e.options.Weights.Load(ctx, order.Model, order.Version, order.Adapter)
}

// awaitIdle waits until no request is in progress. It returns false if the engine was closed.
func (e *Engine) awaitIdle() bool {
	for {
		e.mu.Lock()
		open := slices.Concat(e.batch, e.queue)
		e.mu.Unlock()
		if len(open) == 0 {
			return true
		}
		if !e.awaitEndOf(open[0]) {
			return false
		}
	}
}

func (e *Engine) awaitEndOf(s *sequence) bool {
	for {
		p := e.progressOf(s, 0)
		if p.state != queued && p.state != running {
			return true
		}
		select {
		case <-p.changed:
		case <-e.closed:
			return false
		}
	}
}

// Orders returns the orders that the engine received, oldest first.
func (e *Engine) Orders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.recorder.orders)
}
