// Package member implements gossip membership for the routers of a region.
// Messages carry the age of each member's last known message, so that liveness is
// relayed to all members at a cost of one byte per member and message.
package member
