//go:build process

package soak

import (
	"time"

	"github.com/stoatmount/stoatmount/platform/platformtest"
)

const (
	// brittleTime is how long the endpoints of the service app are brittle.
	brittleTime = 8 * time.Second
	// burstCallers ask for more than the endpoints take that are up then.
	burstCallers = 80
	// brittleWork is the duration of a request to a brittle endpoint.
	brittleWork = 120 * time.Millisecond
	// endpointSlots are those of the entries.
	endpointSlots = 8
	// firstBurstCaller is the number of the first one, beyond those of the other callers.
	firstBurstCaller = 1000
)

// makeBrittle makes the endpoints of the service app brittle in every fourth soak, with a
// burst of callers, while half of them are down and come back.
func (env *environment) makeBrittle(seed uint64) {
	if seed%4 != 2 {
		return
	}
	var list []*platformtest.Endpoint
	for _, e := range env.endpoints {
		if e.Service == "app" && !env.isGone(e) {
			list = append(list, e)
		}
	}
	setRoom := func(room int) {
		for _, e := range list {
			e.SetBrittle(platformtest.Brittle{Room: room, MaxRejections: 4, Down: 2 * time.Second})
		}
	}
	env.brittle.Store(true)
	setRoom(burstCallers) // the bound holds from a contact time after the first word
	time.Sleep(contact)
	burst := startCallersFrom(env, firstBurstCaller, burstCallers, seed)
	falls := 0
	for i, e := range list {
		if i%2 == 0 {
			e.CrashFor(time.Second)
			falls--
		}
	}
	setRoom(endpointSlots)
	time.Sleep(brittleTime)
	all := burst.end()
	for _, e := range list {
		falls += e.Crashes()
		e.SetBrittle(platformtest.Brittle{})
	}
	env.brittle.Store(false)
	served := 0
	for _, v := range all {
		if v.status == 200 {
			served++
		}
	}
	env.t.Logf("%d brittle endpoints fell %d times; %d of %d requests of the burst were served", len(list), falls, served, len(all))
	if falls > 2+len(list)/10 {
		env.t.Errorf("%d brittle endpoints fell %d times", len(list), falls)
	}
	time.Sleep(time.Second)
}
