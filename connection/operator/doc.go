// Package operator serves the operators' API of a router: status, metrics,
// configuration, and taking zones, hosts and endpoints out of service.
package operator
