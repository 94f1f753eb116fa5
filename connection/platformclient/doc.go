// Package platformclient has the clients of the platform services that
// `stoatmount serve` uses: the append-only log and the list of hosts.
// `stoatmount platform` uses another store; see package platform.
package platformclient
