// Package hostlist is a stand-in for the platform's host list, whose reads lag
// behind: Memory in the process and under a virtual clock, Server over HTTP.
package hostlist
