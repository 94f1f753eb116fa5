// Package member keeps the list of live routers of a region. Routers gossip
// the age at which each member was last heard, so that a heartbeat is relayed
// to all members at a cost of one byte per member and message.
package member
