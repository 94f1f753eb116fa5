// Package serve handles one request from its arrival to its outcome: it claims a
// non-idempotent request, gets a permit, sends the request to an endpoint, passes
// the response on completely and retries where that is safe.
package serve
