// Package plan computes the impact of taking a zone, a host or an endpoint out of
// service, or of bringing it back, before an operator does so.
package plan
