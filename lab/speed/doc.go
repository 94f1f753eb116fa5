// Package speed measures what a router adds to a request: time to the first
// token, time between tokens, memory per open stream, allocations and
// processor time. Each figure is taken beside calls of the same stand-in
// without a router, in the same run.
package speed
