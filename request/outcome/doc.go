// Package outcome defines what became of a request: whether it ran, and the
// numbered result code that callers, logs and metrics carry.
package outcome
