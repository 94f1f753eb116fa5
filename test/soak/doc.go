// Package soak runs the real program as separate processes on loopback, injects
// random faults from outside and checks the platform's promises from what
// callers and endpoints see. Its tests carry the build tag process.
//
//	go test -tags process ./test/soak -run TestSoak -seeds 50 -seed 1000
package soak
