package node

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/process/reconcile"
)

// reconcilers holds one reconciler per model. The zero value is usable.
type reconcilers struct {
	mu      sync.Mutex
	byModel map[string]*reconcile.Reconciler
}

func (r *reconcilers) plan(model string, in reconcile.Input) []reconcile.PlannedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.get(model).Plan(in)
}

func (r *reconcilers) recordOutcome(model, endpointName string, result reconcile.Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(model).RecordOutcome(endpointName, result, now)
}

// get returns the reconciler of model. r.mu must be held.
func (r *reconcilers) get(model string) *reconcile.Reconciler {
	if r.byModel == nil {
		r.byModel = make(map[string]*reconcile.Reconciler)
	}
	found, ok := r.byModel[model]
	if !ok {
		found = reconcile.New(model)
		r.byModel[model] = found
	}
	return found
}

// orderOutcome distinguishes a refusal by the endpoint from a failure to reach it.
func orderOutcome(err error) reconcile.Outcome {
	var status *endpoint.StatusError
	if errors.As(err, &status) {
		return reconcile.Rejected
	}
	return reconcile.Failed
}
