package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
)

// fixedMembership is the membership of a router while all routers are bound to one view.
type fixedMembership struct{ view *member.View }

// Bindings implements admission.Membership.
func (f fixedMembership) Bindings(time.Time) *member.Bindings {
	n := len(f.view.Members)
	return &member.Bindings{
		Self:   f.view.Members[0],
		Known:  n,
		Counts: []member.BindingCount{{View: f.view, Count: n}},
	}
}

// measureAdmission measures the admission owner.
func measureAdmission() Measurement {
	m := newMeasurement("admission")
	routers := []int{7, 30, 100, 200, 330}
	m.add("processor_per_permit", "µs", "routers", routers, permitCPUTime)
	m.add("processor_per_watch", "µs", "routers", routers, func(n int) float64 {
		owner, now := newOwner(n, 2*n)
		const polls = 20
		used := cpuTime(func() {
			for range polls {
				owner.EndpointsToPoll(now)
			}
		})
		return used.Seconds() / polls * 1e6
	})
	m.add("message_bytes_per_permit", "B", "permits", []int{1}, func(int) float64 { return permitBytes() })
	return m
}

// newOwner returns the admission owner of one of n routers, in a fleet with the
// given number of endpoints, after its settle time.
func newOwner(n, endpoints int) (*admission.Owner, time.Time) {
	now := sim.Epoch
	view := viewOf(n)
	rng := rand.New(rand.NewPCG(seed, 3))
	owner := admission.NewOwner(admission.DefaultConfig(), fixedMembership{view}, invariant.New(logr.Discard()), rng)
	owner.SetSnapshot(config.NewSnapshot(config.State{Version: 1, Config: configOf(endpoints)}))
	polled := owner.EndpointsToPoll(now)
	now = now.Add(admission.DefaultConfig().SettleTime)
	for _, name := range polled {
		owner.HandleLoadReport(now, name, &protocol.LoadReport{Incarnation: 1, Completed: 1000}, now)
	}
	return owner, now
}

// timedPermits is the number of permits that are measured.
const timedPermits = 2000

// permitCPUTime returns the CPU time, in microseconds, of one permit, from the
// request to its release, with that of one load report.
func permitCPUTime(n int) float64 {
	used, granted := grantPermits(n)
	return used.Seconds() / float64(max(granted, 1)) * 1e6
}

// grantPermits requests permits one after the other. It returns the CPU time and
// the number of permits granted.
func grantPermits(n int) (used time.Duration, granted int) {
	owner, now := newOwner(n, 2*n)
	polled := owner.EndpointsToPoll(now)
	snapshot := config.NewSnapshot(config.State{Config: configOf(2 * n)})
	kinds := make(map[string]string)
	for _, k := range snapshot.Config.Kinds {
		kinds[k.Model] = k.Name
	}
	report := protocol.LoadReport{Incarnation: 1, Completed: 1000}
	used = cpuTime(func() {
		for i := range timedPermits {
			name := polled[i%len(polled)]
			now = now.Add(time.Second)
			report.Completed++
			owner.HandleLoadReport(now, name, &report, now)
			for _, d := range owner.Request(now, admission.Request{From: "host-001", CallID: uint64(i), Endpoint: name, Workspace: "workspace-000", Kind: kinds[snapshot.Endpoint(name).Model], Sent: now, Deadline: now.Add(time.Hour), Wait: time.Minute}) {
				if d.Granted {
					granted++
					owner.Release(now, "host-001", admission.Release{Endpoint: name, Permit: d.Permit, Result: admission.Result{Dispatched: true, Completed: true}})
				}
			}
		}
	})
	return used, granted
}

// permitBytes returns the bytes of a permit request, its reply and its release, each in its own message.
func permitBytes() float64 {
	request := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_PermitRequest{PermitRequest: &peerpb.PermitRequest{
		Endpoint: "endpoint-123", Workspace: "workspace-123", Kind: "live-script-adaptation", DeadlineMs: 40_000, WaitMs: 2000, View: 1 << 60, Fingerprint: 1 << 60, AgeMs: 12, ConfigVersion: 100_000,
	}}}}}
	reply := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_PermitReply{PermitReply: &peerpb.PermitReply{
		Granted: true, Permit: 1 << 60, DispatchMs: 500, LeaseMs: 3000, Load: 5, Cap: 8, Boot: 1 << 60,
	}}}}}
	release := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Body: &peerpb.Envelope_Release{Release: &peerpb.Release{
		Endpoint: "endpoint-123", Permit: 1 << 60, Completed: true, Dispatched: true, FirstTokenMs: 390, Tokens: 400, Boot: 1 << 60,
	}}}}}
	return float64(wireSize(request) + wireSize(reply) + wireSize(release))
}
