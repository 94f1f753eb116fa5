// Package breaker keeps one circuit breaker per endpoint. A breaker opens after
// failures in a row, each with its result code, and lets single probes through
// until one succeeds.
//
// Lock order: Breakers.mu is a leaf.
package breaker
