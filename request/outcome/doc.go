// Package outcome defines the outcome of a request: whether it was executed, and
// the numbered result code in responses, logs and metrics.
package outcome
