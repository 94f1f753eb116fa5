// Package config defines the dynamic configuration, the state that results from
// the records of the configuration log, and the immutable snapshot of that state
// that the request path reads.
package config
