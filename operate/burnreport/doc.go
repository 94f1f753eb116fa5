// Package burnreport computes the report on service-level burn from the counters of
// all routers and renders it as an HTML page with plots.
package burnreport
