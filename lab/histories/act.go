package histories

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// addViolation records a violated guarantee.
func (w *history) addViolation(guarantee, format string, args ...any) {
	w.violations = append(w.violations, Violation{Seed: w.seed, Step: w.step, Guarantee: guarantee, Evidence: fmt.Sprintf(format, args...)})
}

func (w *history) randomRouter() *sim.Router {
	return w.fleet.Routers[w.rng.IntN(len(w.fleet.Routers))]
}

// runStep runs one step: some requests and changes, and in most steps the start
// or the end of a fault.
func (w *history) runStep() {
	w.checkChats()
	w.sendBooking()
	if w.rng.IntN(2) == 0 {
		w.submitChange()
	}
	if w.rng.IntN(4) == 0 {
		w.submitChange()
	}
	if w.rng.IntN(3) > 0 {
		w.injectFault()
	}
}

// injectFault starts or ends a fault.
func (w *history) injectFault() {
	w.counts.Faults++
	r := w.randomRouter()
	switch w.rng.IntN(16) {
	case 0:
		w.fleet.Kill(r)
	case 1, 2:
		w.restart(r)
	case 3:
		if r.Up && !r.Paused {
			w.fleet.Pause(r)
		}
	case 4, 5:
		w.resumeAll()
	case 6:
		w.blocked[link(r, w.randomRouter())] = true
	case 7:
		w.partition()
	case 8, 9:
		clear(w.blocked)
	case 10:
		w.listDown = !w.listDown
	case 11:
		w.logDown[r] = true
	case 12:
		clear(w.logDown)
	case 13:
		w.enableLogFault(fault.LostReply, 1+w.rng.IntN(3))
	case 14:
		w.startLogOutage()
	default:
		w.simulation.Restart(w.simulation.Endpoints[w.rng.IntN(len(w.simulation.Endpoints))], time.Second)
	}
}

func (w *history) enableLogFault(name fault.Name, count int) {
	if err := w.log.Faults().On(fault.Fault{Name: name, Count: count}); err != nil {
		w.addViolation("harness", "%v", err)
	}
}

// startLogOutage makes the log unreachable for all routers, for 1 to 20 seconds.
func (w *history) startLogOutage() {
	for _, r := range w.fleet.Routers {
		w.logDown[r] = true
	}
	length := time.Duration(1+w.rng.IntN(20)) * time.Second
	w.fleet.After(length, func() { clear(w.logDown) })
}

func (w *history) restart(r *sim.Router) {
	w.counts.Restarts++
	w.fleet.Start(r)
}

func (w *history) resumeAll() {
	for _, r := range w.fleet.Routers {
		if r.Up && r.Paused {
			w.fleet.Resume(r)
		}
	}
}

// partition splits the routers in two; both parts, one or none can reach the log.
func (w *history) partition() {
	cut := 1 + w.rng.IntN(routers-1)
	logDown := w.rng.IntN(3)
	order := w.rng.Perm(routers)
	for i, a := range order {
		for j, b := range order {
			if (i < cut) != (j < cut) {
				w.blocked[link(w.fleet.Routers[a], w.fleet.Routers[b])] = true
			}
		}
		if logDown == 1 && i < cut || logDown == 2 {
			w.logDown[w.fleet.Routers[a]] = true
		}
	}
}

// foldLog applies the new records of the log to the reference fold and returns it.
func (w *history) foldLog() *configlog.Fold {
	for _, r := range w.log.All(platformclient.StreamConfig)[w.logFold.Next()-1:] {
		if _, err := w.logFold.Apply(r); err != nil {
			w.addViolation("harness", "%v", err)
			break
		}
	}
	return w.logFold
}

// check checks the guarantees that hold at any time.
func (w *history) check() {
	if n := w.checker.Total() + w.simulation.Check.Total(); n > 0 {
		w.addViolation("invariants", "%v %v", w.checker.Violations(), w.simulation.Check.Violations())
	}
	if requests, worst := w.simulation.Overruns(); requests > 0 {
		w.addViolation("permits within cap", "%d requests beyond the capacity of an endpoint, by up to %d", requests, worst)
	}
}

// recover ends all faults. All routers must then reach the same configuration
// and be fresh.
func (w *history) recover() {
	clear(w.blocked)
	clear(w.logDown)
	w.listDown = false
	w.log.Faults().Clear()
	w.resumeAll()
	for _, r := range w.fleet.Routers {
		if !r.Up {
			w.fleet.Start(r)
		}
	}
	w.fleet.Run(40 * time.Second)
	w.restoreConfig()
	w.check()
	want := stateJSON(w.foldLog())
	for _, r := range w.fleet.Routers {
		h := w.hosts[r]
		snapshot := h.follower.Snapshot()
		switch {
		case w.logFold.State().Version == 0:
		case snapshot == nil || !h.follower.Fresh(w.fleet.Now):
			w.addViolation("service comes back", "%s is not fresh: %+v", r.Member.Name, h.follower.Status())
		case marshal(snapshot.State) != want:
			w.addViolation("all folds agree", "%s has %s, the log has %s", r.Member.Name, marshal(snapshot.State), want)
		}
	}
}

// restoreConfig restores a configuration as an operator does if a router reports
// that records expired before it read them, as after a long outage of the log
// during which every router was replaced.
func (w *history) restoreConfig() {
	needed := false
	for _, r := range w.fleet.Routers {
		h := w.hosts[r]
		gap := h.follower.Status().Missing
		needed = needed || gap != nil
		if gap != nil {
			_, err := h.follower.BeginSubmission(configlog.Change{ID: "late", Op: configlog.OpPush, Config: zoneConfig("late")})
			refusal, ok := outcome.AsRefusal(err)
			if !ok || refusal.Code != outcome.RestoreNeeded {
				w.addViolation("a gap is told", "%s accepted a change on a configuration with missing records: %v", r.Member.Name, err)
			}
		}
	}
	if !needed {
		return
	}
	w.counts.Restored++
	w.syncClock()
	h := w.hosts[w.fleet.Routers[0]]
	s, err := h.follower.BeginSubmission(configlog.Change{ID: "restore", Op: configlog.OpRestore, Config: zoneConfig("restored")})
	if err != nil {
		w.addViolation("service comes back", "restore: %v", err)
		return
	}
	h.submissions, h.changeIDs = append(h.submissions, s), append(h.changeIDs, "restore")
	w.fleet.Run(20 * time.Second)
}

func stateJSON(f *configlog.Fold) string { return marshal(f.State()) }

func marshal(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (w *history) finishCounts() {
	stats := w.log.Stats()
	w.counts.LogAppends = stats.Appends
	w.counts.RepliesLost = stats.LostReplies
	w.counts.Permits = int(w.simulation.Served)
	w.counts.VirtualSeconds = int(w.fleet.Now.Sub(sim.Epoch) / time.Second)
}
