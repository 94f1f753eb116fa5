// Package burnreport computes the report on service-level burn from the counters of
// all routers and writes it as text or as one HTML page.
package burnreport
