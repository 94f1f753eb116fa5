// Package platformclient has the clients of the services of the platform that
// the fleet runs on: the append-only log and the list of hosts. The formats of
// `stoatmount platform` are in package platform.
package platformclient
