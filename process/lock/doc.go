// Package lock holds the order of the process's locks. A lock is taken only
// while locks of lower rank are held. In builds with the tag lockcheck, a lock
// that is taken out of order panics with both names; in other builds a Mutex is
// a sync.Mutex. docs/LOCKS.md says what each lock guards.
package lock
