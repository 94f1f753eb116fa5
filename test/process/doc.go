// Package process tests real router processes on loopback: killed, paused,
// shut down under load, and with connections that go silent. Callers and
// stand-ins judge, not the routers.
//
// The tests take a minute or two and have the build tag process, which test.sh
// sets:
//
//	go test -tags process ./test/process
package process
