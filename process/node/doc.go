// Package node is the router process of `stoatmount run`: tables, listeners and
// connections. Package process/router is that of `stoatmount platform`.
//
// The tables have their own locks, listed in docs/LOCKS.md. The locks of Node
// (roster.mu, calls.mu, duties.mu, durations.mu) are leaves and are never held
// while a table, a connection or another lock is used.
package node
