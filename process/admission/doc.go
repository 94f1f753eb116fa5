// Package admission implements admission control for endpoints. The router that
// owns an endpoint counts permits exactly and never grants more than the
// endpoint's cap; while routers disagree about the owner, the limits of the
// competing owners add up to at most the cap. Permits are leases.
//
// Owner keeps the state of the endpoints that this router owns, GroupMeans computes
// the mean load of endpoint groups, and Holder keeps the permits of an entry host.
package admission
