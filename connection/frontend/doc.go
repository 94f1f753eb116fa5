// Package frontend accepts callers' connections for `stoatmount platform` and
// reads their requests. A connection serves one request at a time; meanwhile a
// watcher detects whether the caller closes the connection.
//
// Lock order: Server.mu before conn.idleMu.
package frontend
