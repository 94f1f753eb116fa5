// Package balance chooses the endpoint of one request among candidates whose load
// and state are given. It does no I/O.
//
// Affinity keeps prompt caches useful while endpoints come and go: requests with
// the same prompt key stay with the endpoints that had the last ones, until these
// exceed their bound of the load. A new key goes to the endpoint with the highest
// rendezvous weight, on which routers agree before they exchange heartbeats.
// LeastBusy serves short requests to plain services, where a slow or distant
// endpoint costs more than its queue.
package balance
