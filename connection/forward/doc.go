// Package forward handles one request to `stoatmount platform` up to its final
// response: it finds the route, checks the API key, chooses an endpoint, sends the
// request, and retries it only where that is safe. It depends on HTTP, but not on
// the platform's header names or formats: a Codec translates them.
package forward
