// Package caller is the HTTP API of `stoatmount run` for callers: chat completions,
// plain services (kinds without a model), the address call and the health probes.
package caller
