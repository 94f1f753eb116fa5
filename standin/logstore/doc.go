// Package logstore is a stand-in for the platform's append-only log: Memory
// in the process and under a virtual clock, Server over HTTP.
package logstore
