package histories

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// addViolation records a violated guarantee.
func (h *history) addViolation(guarantee, format string, args ...any) {
	h.violations = append(h.violations, Violation{Seed: h.seed, Step: h.step, Guarantee: guarantee, Evidence: fmt.Sprintf(format, args...)})
}

func (h *history) randomRouter() *sim.Router {
	return h.fleet.Routers[h.rng.IntN(len(h.fleet.Routers))]
}

// runStep runs one step: some requests and changes, and in most steps the start
// or the end of a fault.
func (h *history) runStep() {
	h.checkChats()
	h.sendBooking()
	if h.rng.IntN(2) == 0 {
		h.submitChange()
	}
	if h.rng.IntN(4) == 0 {
		h.submitChange()
	}
	if h.rng.IntN(3) > 0 {
		h.injectFault()
	}
}

// foldLog applies the new records of the log to the reference fold and returns it.
func (h *history) foldLog() *configlog.Fold {
	for _, r := range h.log.All(platformclient.StreamConfig)[h.logFold.Next()-1:] {
		if _, err := h.logFold.Apply(r); err != nil {
			h.addViolation("harness", "%v", err)
			break
		}
	}
	return h.logFold
}

// check checks the guarantees that hold at any time.
func (h *history) check() {
	if n := h.checker.Total() + h.simulation.Check.Total(); n > 0 {
		h.addViolation("invariants", "%v %v", h.checker.Violations(), h.simulation.Check.Violations())
	}
	if requests, worst := h.simulation.Overruns(); requests > 0 {
		h.addViolation("permits within cap", "%d requests beyond the capacity of an endpoint, by up to %d", requests, worst)
	}
}

// recover ends all faults. All routers must then reach the same configuration
// and be fresh.
func (h *history) recover() {
	clear(h.blocked)
	clear(h.logDown)
	h.listDown = false
	h.log.Faults().Clear()
	h.resumeAll()
	for _, r := range h.fleet.Routers {
		if !r.Up {
			h.fleet.Start(r)
		}
	}
	h.fleet.Run(40 * time.Second)
	h.restoreConfig()
	h.check()
	want := stateJSON(h.foldLog())
	for _, r := range h.fleet.Routers {
		proc := h.processes[r]
		snapshot := proc.follower.Snapshot()
		switch {
		case h.logFold.State().Version == 0:
		case snapshot == nil || !proc.follower.Fresh(h.fleet.Now):
			h.addViolation("service comes back", "%s is not fresh: %+v", r.Member.Name, proc.follower.Status())
		case marshal(snapshot.State) != want:
			h.addViolation("all folds agree", "%s has %s, the log has %s", r.Member.Name, marshal(snapshot.State), want)
		}
	}
}

// restoreConfig restores a configuration as an operator does if a router reports
// that records expired before it read them, as after a long outage of the log
// during which every router was replaced.
func (h *history) restoreConfig() {
	needed := false
	for _, r := range h.fleet.Routers {
		proc := h.processes[r]
		gap := proc.follower.Status().Missing
		needed = needed || gap != nil
		if gap != nil {
			_, err := proc.follower.BeginSubmission(configlog.Change{ID: "late", Op: configlog.OpPush, Config: configWithModelVersion("late")})
			refusal, ok := outcome.AsRefusal(err)
			if !ok || refusal.Code != outcome.RestoreNeeded {
				h.addViolation("a gap is told", "%s accepted a change on a configuration with missing records: %v", r.Member.Name, err)
			}
		}
	}
	if !needed {
		return
	}
	h.counts.Restored++
	h.syncClock()
	proc := h.processes[h.fleet.Routers[0]]
	s, err := proc.follower.BeginSubmission(configlog.Change{ID: "restore", Op: configlog.OpRestore, Config: configWithModelVersion("restored")})
	if err != nil {
		h.addViolation("service comes back", "restore: %v", err)
		return
	}
	proc.submissions, proc.changeIDs = append(proc.submissions, s), append(proc.changeIDs, "restore")
	h.fleet.Run(20 * time.Second)
}

func stateJSON(f *configlog.Fold) string { return marshal(f.State()) }

func marshal(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (h *history) finishCounts() {
	stats := h.log.Stats()
	h.counts.LogAppends = stats.Appends
	h.counts.RepliesLost = stats.LostReplies
	h.counts.Permits = int(h.simulation.Served)
	h.counts.VirtualSeconds = int(h.fleet.Now.Sub(sim.Epoch) / time.Second)
}
