// Package protocol holds the messages of the protocol that endpoints publish:
// headers of requests and responses, load reports, cache events and orders. The
// client and the fake endpoints of packages standin/... share it.
package protocol
