// Package explain derives the outcome of a request from collected logs: its own
// line, the state that its router held of the endpoints it used, and whether
// that router reached the platform's store.
package explain
