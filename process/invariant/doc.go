// Package invariant checks guarantees of the system at run time. A failed check is
// counted, logged with its evidence and, in tests, fails the test. Checks are
// compiled into every build.
package invariant
