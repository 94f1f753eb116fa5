// Package invariant checks the promises of the system while it runs. A check
// that fails counts, logs its evidence and, in tests, fails the test. Checks
// are compiled into every build.
package invariant
