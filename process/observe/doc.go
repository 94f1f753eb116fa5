// Package observe writes the log lines and counts the metrics of requests. Each
// request has one line; the volume is bounded by a budget a second, within
// which failures go before successes. Metrics have few names: they are kept by
// kind of result, never by request, endpoint or route.
//
// Lock order: Requests.mu is a leaf.
package observe
