// Package speed measures the overhead of a router per request: time to the first
// token, time between tokens, memory per open stream, allocations and CPU time.
// Each value is compared with direct calls of the same stand-in in the same run.
package speed
