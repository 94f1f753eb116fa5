// Package matrix injects every fault at every step of the system's operations,
// alone and in pairs, into a small fleet on loopback, and writes the results that
// callers got to docs/FAULTS.md. Guarantees are checked by the records of callers
// and stand-ins, and by the invariants of the routers.
package matrix
