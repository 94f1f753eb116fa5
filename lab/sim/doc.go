// Package sim runs the membership tables of many routers in one goroutine
// under a virtual clock, with delays, lost links and pauses. Measurements and
// tests share it.
package sim
