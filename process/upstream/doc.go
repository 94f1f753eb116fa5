// Package upstream keeps the endpoints of all services: their registry entries,
// what this router's own requests showed, and the load reported by the other
// routers. It chooses the endpoint of a request, counts the request there until it
// is released, and ejects failing endpoints.
//
// Lock order: Table.mu, then that of Rollouts.
package upstream
