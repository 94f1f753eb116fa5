// Package observe writes the log lines and counts the metrics of requests. Each
// request has at most one line; the volume is bounded by a budget per second, in which
// failures take precedence over successes. Metrics have low cardinality: they are
// kept by kind of result, never by request, endpoint or route.
//
// Lock order: Requests.mu, then those of the logger.
package observe
