// Package sim simulates the membership tables of many routers in one goroutine
// under a virtual clock, with delays, lost links and pauses. Measurements and
// tests use it; Do and Send run code of theirs in the routers' processes.
package sim
