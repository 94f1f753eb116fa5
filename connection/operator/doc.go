// Package operator serves the operators' address of a router: status, figures,
// configuration, and taking zones, hosts and endpoints out of service.
package operator
