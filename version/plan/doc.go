// Package plan works out what taking a zone, a host or an endpoint out of
// service would leave, before it is done.
package plan
