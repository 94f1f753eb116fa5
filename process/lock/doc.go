// Package lock defines the lock order of the process. While a lock is held, only locks
// of higher rank may be taken. In builds with the tag lockcheck, taking a Mutex out of
// order panics with both names; in other builds a Mutex is a sync.Mutex. Plain
// sync.Mutexes are not checked. docs/LOCKS.md lists what each lock guards.
package lock
