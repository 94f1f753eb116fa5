// Package platformclient reaches the platform that the fleet runs on: the
// append-only log, the list of hosts and the weight store.
package platformclient
