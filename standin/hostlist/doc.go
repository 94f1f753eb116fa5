// Package hostlist is a stand-in for the platform's host list, whose reads lag
// behind. Memory can run under a virtual clock; Server serves it over HTTP.
package hostlist
