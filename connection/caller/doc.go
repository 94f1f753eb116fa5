// Package caller is the HTTP API for callers: chat completions, plain services,
// the address call and the health probes.
package caller
