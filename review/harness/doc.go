// Package harness starts a small deployment for the cases of the review: router processes
// as the deploy file starts them, and in the case's own process the stand-ins of the
// platform's store, of endpoints and of callers. All addresses are loopback addresses.
package harness
