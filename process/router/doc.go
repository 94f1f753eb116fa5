// Package router assembles the process of an entry host: it follows the
// configuration and the endpoints in the platform's store, exchanges beats with
// the other routers, serves callers and the directory, and leaves without
// cutting off requests. Formats of the platform come through Adapter.
package router
