// Package links tells whether it is this router's links or the endpoints that fail, by
// service. It does no I/O and takes the time from its caller.
//
// A service is lost after connections or responses of two endpoints failed with no
// response between. The router then probes the endpoints and sends the requests through
// other routers. If another router got a response that is older than a later probe of all
// endpoints which failed, the fault is this router's alone: what it concluded meanwhile
// about endpoints and requests is dropped. Otherwise it counts once an endpoint accepts a
// connection.
//
// Lock order: Table.mu is a leaf.
package links
