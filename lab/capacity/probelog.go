package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/process/reconcile"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/logstore"
	"github.com/stoatmount/stoatmount/version/config"
)

// wireSize returns the size of a message between routers with framing.
func wireSize(message proto.Message) int {
	return proto.Size(message) + sim.FrameBytes
}

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

// permitBytes returns the bytes of a permit request, its reply and its release,
// each in a message of its own.
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

// measureLedger measures the fold of one shard of the ledger.
func measureLedger() Measurement {
	m := newMeasurement("ledger")
	keys := []int{1_000, 4_000, 16_000}
	var recordBytes, foldTime []float64
	m.add("table_bytes", "B", "keys", keys, func(n int) float64 {
		records := ledgerRecords(n)
		bytes := 0
		for _, r := range records {
			bytes += len(r.Data)
		}
		recordBytes = append(recordBytes, float64(bytes)/float64(n))
		var used time.Duration
		kept := heapOf(func() any {
			fold := ledger.NewFold(1, 10*time.Minute, ledger.DefaultResponseBytes)
			used = cpuTime(func() {
				for _, r := range records {
					fold.Apply(r)
				}
			})
			return fold
		})
		// If the records were freed within heapOf, the result would be too small.
		runtime.KeepAlive(records)
		foldTime = append(foldTime, used.Seconds()/float64(n)*1e6)
		return kept
	})
	next := func(values *[]float64) func(int) float64 {
		return func(int) float64 {
			value := (*values)[0]
			*values = (*values)[1:]
			return value
		}
	}
	m.add("claim_message_bytes", "B", "claims", []int{1}, func(int) float64 { return claimBytes() })
	m.add("record_bytes_per_key", "B", "keys", keys, next(&recordBytes))
	m.add("processor_per_key", "µs", "keys", keys, next(&foldTime))
	return m
}

// ledgerRecords returns the log records of n requests that were claimed and
// completed with a response of 200 bytes.
func ledgerRecords(n int) []platformclient.Record {
	log := logstore.NewMemory(logstore.Options{})
	shard := ledger.NewShard(ledger.Options{Log: log, Clock: clockwork.NewRealClock(), Logger: logr.Discard()}, 0)
	rng := rand.New(rand.NewPCG(seed, 4))
	ctx := context.Background()
	// The in-memory log does not fail.
	_ = shard.Tail(ctx, 0)
	for i := range n {
		id, _ := uuid.NewV7()
		key, _ := ledger.ParseKey(fmt.Sprintf("workspace-%d", i%230), id.String(), false, 10*time.Minute, time.Now())
		attempt := ledger.NewAttemptID(rng)
		shard.Submit(ledger.Claim{Key: key, Attempt: attempt, Fingerprint: 7, MaxDuration: 10 * time.Second})
		shard.RecordOutcome(ledger.Outcome{Key: key, Attempt: attempt, Run: outcome.RunDone, Response: &ledger.StoredResponse{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}})
		if i%200 == 199 || i == n-1 {
			_, _ = shard.Flush(ctx)
			_ = shard.Tail(ctx, 0)
		}
	}
	page, _ := log.Read(ctx, ledger.Stream(0), 1, 4*n, 0)
	return page.Records
}

// claimBytes returns the bytes of a claim, its reply and its outcome between the
// entry and the appender.
func claimBytes() float64 {
	key := "workspace-123/" + uuid.NewString()
	claim := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{
		Shard: 3, Key: key, Fingerprint: 1 << 60, AttemptHigh: 1 << 60, AttemptLow: 1 << 60, WaitMs: 2000,
	}}}}}
	reply := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Call: 100_000, Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{State: 1}}}}}
	finish := &peerpb.Batch{Envelopes: []*peerpb.Envelope{{Body: &peerpb.Envelope_Finish{Finish: &peerpb.Finish{
		Shard: 3, Key: key, AttemptHigh: 1 << 60, AttemptLow: 1 << 60, Run: 2, Status: 200, ContentType: "application/json", Answer: make([]byte, 200),
	}}}}}
	return float64(wireSize(claim) + wireSize(reply) + wireSize(finish))
}

// measureConfiguration measures the follower of the configuration.
func measureConfiguration() Measurement {
	m := newMeasurement("configuration")
	endpoints := []int{12, 80, 320, 640}
	m.add("record_bytes", "B", "endpoints", endpoints, func(n int) float64 {
		data, _ := json.Marshal(configOf(n))
		return float64(len(data))
	})
	m.add("mark_bytes", "B", "marks", []int{1}, func(int) float64 {
		target := config.Target{Scope: config.ScopeZone, Name: "zone-1"}
		data, _ := json.Marshal(configlog.Change{ID: configlog.NewChangeID(), Base: 100_000, ObservedEnd: 100_000, Author: "operator", At: sim.Epoch, Op: configlog.OpTakeOut, Target: &target})
		return float64(len(data))
	})
	m.add("snapshot_bytes", "B", "endpoints", endpoints, func(n int) float64 {
		return heapOf(func() any { return config.NewSnapshot(config.State{Config: configOf(n)}) })
	})
	m.add("processor_per_push", "µs", "endpoints", endpoints, func(n int) float64 {
		data, _ := json.Marshal(configOf(n))
		const pushes = 20
		used := cpuTime(func() {
			for range pushes {
				var c config.Config
				// The output of Marshal can be decoded.
				_ = json.Unmarshal(data, &c)
				config.Validate(c)
				config.NewSnapshot(config.State{Config: c})
			}
		})
		return used.Seconds() / pushes * 1e6
	})
	return m
}

// measureReconciler measures one round of the reconciler of a model.
func measureReconciler() Measurement {
	m := newMeasurement("orders")
	m.add("processor_per_round", "µs", "endpoints of a model", []int{7, 28, 112}, func(n int) float64 {
		c := configOf(n)
		for i := range c.Endpoints {
			c.Endpoints[i].Model = c.Models[0].Name
		}
		snapshot := config.NewSnapshot(config.State{Version: 1, Config: c})
		reconciler := reconcile.New(c.Models[0].Name)
		input := reconcile.Input{Now: sim.Epoch, Snapshot: snapshot, Fresh: true, OwnerSince: sim.Epoch.Add(-time.Hour), Lease: 5 * time.Second, Reports: make(map[string]reconcile.Report)}
		for i := range c.Endpoints {
			report := protocol.LoadReport{Incarnation: 1, Model: c.Models[0].Name, Version: "v1"}
			input.Reports[c.Endpoints[i].Name] = reconcile.Report{LoadReport: report, At: sim.Epoch}
		}
		const rounds = 500
		used := cpuTime(func() {
			for range rounds {
				reconciler.Plan(input)
			}
		})
		return used.Seconds() / rounds * 1e6
	})
	return m
}
