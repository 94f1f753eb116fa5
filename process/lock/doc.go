// Package lock defines the lock order of the process. A lock may be taken only
// while locks of lower rank are held. In builds with the tag lockcheck, taking a
// lock out of order panics with both names; in other builds a Mutex is a
// sync.Mutex. docs/LOCKS.md lists what each lock guards.
package lock
