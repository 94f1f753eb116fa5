// Package candidates decides which endpoints a request tries, in which order, and
// how long it may wait at each. It compares the choices that are open by
// expected time and worth: wait for the endpoint that holds the chat's prefix,
// recompute the prefix elsewhere, or move the cache.
//
// Hints live as long as the process; a Chooser lives as long as one
// configuration version.
//
// Lock order: Hints.mu, then nothing. hint.mu is a leaf.
package candidates
