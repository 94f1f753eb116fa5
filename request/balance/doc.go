// Package balance chooses the endpoint of one request among candidates whose load
// and state are given. It does no I/O.
//
// Affinity sends requests with the same prompt key to the endpoints that had the
// last ones and so cache the prompt, as long as these endpoints are within the
// Bound. Counts are as old as heartbeats, and the older they are, the more evenly endpoints
// are chosen (see evenness). A new key goes to the endpoint with the highest rendezvous weight, on which
// routers agree before they exchange heartbeats. ShortestExpectedTime serves short
// requests to plain services, where a slow or distant endpoint costs more than its
// queue.
package balance
