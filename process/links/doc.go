// Package links tells whether it is this router's links or the endpoints that fail, by
// service. It does no I/O and takes the time from its caller.
//
// The links to a service are in doubt after connections or responses of two endpoints failed
// with no response between. The service is lost if a probe finds that fewer than half of the
// endpoints accept a connection, or that those which failed do. The router then goes on probing
// and sends the requests through other routers.
//
// If no endpoint accepts a connection while another router gets responses, the fault is this
// router's alone: what it concluded meanwhile about endpoints and requests is dropped.
// Otherwise it counts as soon as endpoints accept connections.
//
// Lock order: Table.mu is a leaf.
package links
