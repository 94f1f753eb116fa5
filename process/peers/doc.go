// Package peers keeps the other routers of the fleet: their addresses, whether they
// take requests, and how many requests they run on each endpoint. Routers find one
// another in the platform's store and then exchange heartbeats as UDP datagrams. A
// router without a recent heartbeat is no longer named to callers.
//
// Lock order: Table.mu and Exchange.queriesMu are leaves.
package peers
