// Package testbed starts the stand-ins of a deployment from its configuration: an engine or a
// service for every endpoint, the log, the host list and the weight store.
package testbed
