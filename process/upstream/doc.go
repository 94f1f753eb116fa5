// Package upstream keeps the endpoints of all services: what the registry says
// of them, what this router's own requests showed, and what the other routers
// told. It chooses the endpoint of a request, counts it there until it is
// released, and decides which endpoints are left out.
//
// Lock order: Table.mu is a leaf.
package upstream
