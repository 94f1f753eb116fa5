// Package admission decides who may send work to an endpoint. The router that
// owns an endpoint counts permits exactly and never grants more than the
// endpoint's cap; while routers disagree about the owner, rival owners' limits
// add up to at most the cap. Permits are leases.
//
// Owner is the owner's table, Means collects the load of a group of endpoints,
// and Holder keeps the permits of an entry.
package admission
