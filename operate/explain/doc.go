// Package explain explains the outcome of a request from collected logs: the log
// line of the request and earlier lines of its router about the configuration, the
// endpoints that it used, and whether the router reached the platform's store.
package explain
