// Package serve takes one request from its arrival to its outcome: it claims a
// non-idempotent request, gets a permit, sends the request to an endpoint,
// passes the answer on whole and tries again where that is safe.
package serve
