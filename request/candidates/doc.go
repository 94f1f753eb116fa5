// Package candidates decides which endpoints a request tries, in which order, and
// how long it may wait at each. It compares the options by expected time and
// worth: wait for the endpoint that caches the chat's prefix, compute the prefix
// at another endpoint, or move the cache there.
//
// Hints live as long as the process; a Selector lives as long as one configuration version.
//
// Lock order: Hints.mu and hint.mu are leaves.
package candidates
