// Package peers keeps the other routers of the fleet: where they are, whether
// they take requests, and how many requests they run on each endpoint. Routers
// find one another in the platform's store and then send each other small
// datagrams; a router that is not heard for a while is no longer named to
// callers.
//
// Lock order: Table.mu is a leaf.
package peers
