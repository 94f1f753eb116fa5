// Package config holds the dynamic configuration: what the operators' answers
// were turned into, the state that the log's records fold to, and the
// immutable snapshot of it that the request path reads.
package config
