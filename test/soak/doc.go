// Package soak runs router processes on loopback, injects random faults from
// outside and checks the platform's guarantees against what callers and endpoints
// see. Its tests have the build tag process.
//
//	go test -tags process ./test/soak -run TestSoak -seeds 50 -seed 1000
package soak
