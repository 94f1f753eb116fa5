// Package retry decides whether a request is sent again: as a retry after a
// failed attempt, or as a hedge beside one that is late. Both draw on one
// budget per router and per endpoint, which grows with requests served, so
// that retries cannot grow into a storm.
//
// Lock order: Budget.mu is a leaf.
package retry
