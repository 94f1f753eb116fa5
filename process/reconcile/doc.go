// Package reconcile brings endpoints to what the configuration wants them to
// serve. A Reconciler decides for one model, on the router that holds the duty
// for it, and does no I/O: Plan returns the orders to send, and Done takes what
// became of them.
//
// An order carries the version of the configuration as fencing number. An
// endpoint that checks it refuses what an earlier holder sends late. An
// endpoint that does not check it gets an order only once the lease of every
// earlier holder and the deadline of its last order have run out.
//
// Each model has a share of the weight store's rate in proportion to its
// endpoints, so that the holders of different models need not talk.
package reconcile
