// Package caller is the HTTP API of `stoatmount serve` for callers: chat completions,
// plain services (kinds without a model), the address query and the health probes.
package caller
