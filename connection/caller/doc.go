// Package caller is the HTTP interface for callers: chat completions, plain
// services, the address call and the probes.
package caller
