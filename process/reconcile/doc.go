// Package reconcile orders endpoints to load the model, version, adapter and
// role that the configuration wants. A Reconciler decides for one model, on the
// router that owns the model, and does no I/O: Plan returns the orders to send,
// and RecordOutcome takes their outcomes.
//
// An order carries the version of the configuration as its fencing token. An
// endpoint that checks the token rejects late orders of an earlier owner. An
// endpoint that does not check it gets an order only once the lease of every
// earlier owner and the deadline of its last order have expired.
//
// Each model has a share of the rate at which the weight store serves weights, in
// proportion to its endpoints, so owners of different models need no coordination.
package reconcile
