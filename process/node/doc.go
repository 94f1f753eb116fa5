// Package node assembles one router process from its tables and connections.
//
// The tables lock themselves. Lock order of the process: the locks of Node
// (roster.mu, calls.mu, duties.mu, durations.mu) are leaves and are never held
// while a table, a connection or another lock is used. docs/LOCKS.md lists the
// locks of the tables.
package node
