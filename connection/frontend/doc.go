// Package frontend accepts callers' connections and reads their requests. A
// connection serves one request at a time; while one is served, a watcher
// sees whether the caller closes the connection.
//
// Lock order: Server.mu is a leaf.
package frontend
