// Package process tests real router processes on loopback: killed, paused, shut
// down under load, and with blackholed connections. Results come from callers
// and stand-ins, not from the routers.
//
// The tests take a minute or two and have the build tag process, which test.sh sets:
//
//	go test -tags process ./test/process
package process
