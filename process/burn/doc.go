// Package burn counts the results of requests per kind and minute, for the
// report on service-level burn, and replicates the counters to other routers so
// that they survive the process. Counters only increase, so two records of one
// process are merged by taking the larger counts: nothing is counted twice.
package burn
