// Package router is the whole of `stoatmount platform`, the process of an entry
// host on the users' platform: it follows the configuration and the endpoints in
// the platform's store, exchanges heartbeats with the other routers, serves callers
// and the directory, and shuts down without interrupting requests. Formats of the
// platform are behind Adapter.
package router
