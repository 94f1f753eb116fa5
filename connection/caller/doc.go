// Package caller is the HTTP API of `stoatmount serve` for callers: chat completions,
// plain services (kinds without a model), the address call and the health probes.
package caller
