// Package faults tests a small fleet in one process over real connections: failing
// endpoints, bad input, and missing keys and certificates.
package faults
