// Package invariant checks guarantees of the system at run time. A failed check is
// counted and logged with its evidence; tests fail if any check failed. Checks are
// compiled into every build.
package invariant
