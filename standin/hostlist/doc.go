// Package hostlist is a stand-in for the platform's lagging list of hosts:
// Memory within a process and under a virtual clock, Server over HTTP.
package hostlist
