package capacity

import (
	"encoding/json"
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/reconcile"
	"github.com/stoatmount/stoatmount/version/config"
)

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
