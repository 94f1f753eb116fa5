// Package protocol holds the messages that endpoints publish: the headers of
// requests and responses, load reports, cache events and orders. The client and
// the fake endpoints of package standin share it.
package protocol
