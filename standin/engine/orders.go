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

// serving is what an engine serves and what it is being ordered to.
type serving struct {
	model   string
	version string
	adapter string
	role    string
	fence   uint64 // highest fencing number obeyed
	loading bool
}

func newServing(o Options) serving {
	return serving{model: o.Model, version: o.Version, adapter: o.Adapter, role: o.Role}
}

// sameWeights reports whether order needs no weights to be loaded.
func (s *serving) sameWeights(order protocol.Order) bool {
	return s.model == order.Model && s.version == order.Version && s.adapter == order.Adapter
}

// SeenOrder is an order that an engine got.
type SeenOrder struct {
	At     time.Time
	Order  protocol.Order
	Obeyed bool
}

// handleOrder answers 202 if the order is obeyed, which may take a while, 200
// if nothing had to be done, and 409 if its fencing number is old or another
// order is in progress.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order protocol.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "the body must be an order", http.StatusBadRequest)
		return
	}
	status := e.takeOrder(order)
	if status == http.StatusConflict {
		w.Header().Set(protocol.HeaderNotRun, "true")
	}
	httpserver.WriteJSON(w, status, e.Load())
}

func (e *Engine) takeOrder(order protocol.Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.serving.fence
	obeyed := !e.down && !e.serving.loading && !(stale && e.options.ChecksFence)
	e.record.orders = appendBounded(e.record.orders, SeenOrder{At: e.clock.Now(), Order: order, Obeyed: obeyed})
	if !obeyed {
		return http.StatusConflict
	}
	if stale {
		e.record.StaleOrders++
	}
	e.serving.fence = max(e.serving.fence, order.Fence)
	e.serving.role = order.Role
	if e.serving.sameWeights(order) {
		e.sampleLocked()
		return http.StatusOK
	}
	e.serving.loading = true
	e.sampleLocked()
	boot := e.boot
	e.Go(func() { e.load(order, boot) })
	return http.StatusAccepted
}

// load waits for the requests in progress, loads the weights and starts again
// with them, cold and with a new boot number.
func (e *Engine) load(order protocol.Order, boot uint64) {
	if !e.awaitIdle() {
		return
	}
	err := e.loadWeights(e.lifetime, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving.loading = false
	if err != nil || boot != e.boot {
		e.sampleLocked()
		return
	}
	e.serving.model, e.serving.version, e.serving.adapter = order.Model, order.Version, order.Adapter
	e.rebootLocked()
}

func (e *Engine) loadWeights(ctx context.Context, order protocol.Order) error {
	if e.options.Weights == nil {
		return nil
	}
	return e.options.Weights.Load(ctx, order.Model, order.Version, order.Adapter)
}

// awaitIdle waits until nothing is in progress. It reports false if the
// engine was closed.
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
		p := e.look(s, 0)
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

// Orders returns the orders that the engine got, in their order.
func (e *Engine) Orders() []SeenOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record.orders)
}
