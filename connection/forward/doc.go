// Package forward takes one request from a caller's connection to its final
// answer: it finds the route, checks the API key, chooses an endpoint, sends
// the request, and sends it again only where that is safe. It knows HTTP, but
// neither the platform's header names nor its formats: a Codec translates them.
package forward
