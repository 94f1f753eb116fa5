// Package matrix brings every fault at every step of what the system does, alone
// and in pairs, on a small fleet on loopback, and writes what callers got into
// docs/FAULTS.md. Verdicts come from callers and stand-ins, and from the
// invariants of the routers.
package matrix
