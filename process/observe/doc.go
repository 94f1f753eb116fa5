// Package observe writes the log lines and counts the metrics of requests. Each
// request has at most one line; the volume is bounded per second, separately for requests
// served at the first attempt and all others, so that successes do not displace failures.
// Metrics have low cardinality: by kind of result, never by request, endpoint or route.
//
// Lock order: Requests.mu, then those of the logger.
package observe
