// Package upstream keeps the endpoints of all services: what the registry says
// of them, what this router's own requests showed, and what the other routers
// told. It lends an endpoint to a request as a Lease and decides which
// endpoints are left out.
//
// Lock order: Table.mu is a leaf.
package upstream
