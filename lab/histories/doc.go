// Package histories runs random histories of a small fleet under a virtual
// clock: membership, admission, the configuration stream and the ledger
// together, with random and overlapping faults. It checks the guarantees after
// every step. A seed reproduces its history.
package histories
