// Package protocol holds the messages that endpoints publish: the headers of
// requests and responses, load reports, cache events and orders. The client and
// the stand-ins share it.
package protocol
