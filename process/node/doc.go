// Package node is the whole of `stoatmount serve`, the process of a router: tables,
// listeners and connections. `stoatmount platform` is package process/router.
//
// The tables have their own locks, listed in docs/LOCKS.md. The mutexes
// declared in this package are leaves, never held while a table, a connection or
// another lock is used; reconcilers.mu also guards the reconcilers while they plan.
package node
