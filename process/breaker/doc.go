// Package breaker implements one circuit breaker per endpoint. A breaker opens
// after consecutive failures, records the result code of the last one, and allows
// single probes until one succeeds.
//
// Lock order: Breakers.mu is a leaf.
package breaker
