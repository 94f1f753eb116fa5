// Package matrix injects every fault at every step of the system's operations,
// alone and in pairs, into a small fleet on loopback, and writes the results that
// callers got to docs/FAULTS.md. Guarantees are checked against what callers and
// stand-ins recorded, and by the invariants of the routers.
package matrix
