// Package burn counts what became of requests, per kind and minute, for the
// report on service-level burn, and keeps the counters of other routers so
// that they outlive them. Counters only rise, so that records of one process
// merge by taking the larger number: nothing is counted twice.
package burn
