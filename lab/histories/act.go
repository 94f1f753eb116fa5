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

// breaks notes a broken promise.
func (w *world) breaks(promise, format string, args ...any) {
	w.broken = append(w.broken, Broken{Seed: w.seed, Step: w.step, Promise: promise, Evidence: fmt.Sprintf(format, args...)})
}

func (w *world) anyRouter() *sim.Router {
	return w.fleet.Routers[w.rng.IntN(len(w.fleet.Routers))]
}

// act does one step: some work, and in most steps a fault or its end.
func (w *world) act() {
	w.chat()
	w.book()
	if w.rng.IntN(2) == 0 {
		w.change()
	}
	if w.rng.IntN(4) == 0 {
		w.change()
	}
	if w.rng.IntN(3) > 0 {
		w.fault()
	}
}

// fault begins or ends a fault.
func (w *world) fault() {
	w.counts.Faults++
	r := w.anyRouter()
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
		w.blocked[link(r, w.anyRouter())] = true
	case 7:
		w.island()
	case 8, 9:
		clear(w.blocked)
	case 10:
		w.noList = !w.noList
	case 11:
		w.noLog[r] = true
	case 12:
		clear(w.noLog)
	case 13:
		w.on(fault.LostReply, 1+w.rng.IntN(3))
	case 14:
		w.outage()
	default:
		w.site.Restart(w.site.Endpoints[w.rng.IntN(len(w.site.Endpoints))], time.Second)
	}
}

func (w *world) on(name fault.Name, count int) {
	if err := w.log.Faults().On(fault.Fault{Name: name, Count: count}); err != nil {
		w.breaks("harness", "%v", err)
	}
}

// outage takes the log down for all, for a while.
func (w *world) outage() {
	for _, r := range w.fleet.Routers {
		w.noLog[r] = true
	}
	length := time.Duration(1+w.rng.IntN(20)) * time.Second
	w.fleet.After(length, func() { clear(w.noLog) })
}

func (w *world) restart(r *sim.Router) {
	w.counts.Restarts++
	w.fleet.Start(r)
}

func (w *world) resumeAll() {
	for _, r := range w.fleet.Routers {
		if r.Up && r.Paused {
			w.fleet.Resume(r)
		}
	}
}

// island parts the routers in two, some of them without the log.
func (w *world) island() {
	cut := 1 + w.rng.IntN(routers-1)
	noLog := w.rng.IntN(3)
	order := w.rng.Perm(routers)
	for i, a := range order {
		for j, b := range order {
			if (i < cut) != (j < cut) {
				w.blocked[link(w.fleet.Routers[a], w.fleet.Routers[b])] = true
			}
		}
		if noLog == 1 && i < cut || noLog == 2 {
			w.noLog[w.fleet.Routers[a]] = true
		}
	}
}

// reference folds all configuration records that were ever appended.
func (w *world) reference() *configlog.Fold {
	for _, r := range w.log.All(platformclient.StreamConfig)[w.truth.Next()-1:] {
		if _, err := w.truth.Apply(r); err != nil {
			w.breaks("harness", "%v", err)
			break
		}
	}
	return w.truth
}

// check checks the promises that hold at any time.
func (w *world) check() {
	if n := w.check1.Total() + w.site.Check.Total(); n > 0 {
		w.breaks("invariants", "%v %v", w.check1.Violations(), w.site.Check.Violations())
	}
	if requests, worst := w.site.Overruns(); requests > 0 {
		w.breaks("permits within cap", "%d requests beyond what an endpoint bore, by up to %d", requests, worst)
	}
}

// recover ends all faults. All routers must then come to the same
// configuration and take work.
func (w *world) recover() {
	clear(w.blocked)
	clear(w.noLog)
	w.noList = false
	w.log.Faults().Clear()
	w.resumeAll()
	for _, r := range w.fleet.Routers {
		if !r.Up {
			w.fleet.Start(r)
		}
	}
	w.fleet.Run(40 * time.Second)
	w.restore()
	w.check()
	want := stateJSON(w.reference())
	for _, r := range w.fleet.Routers {
		h := w.hosts[r]
		snapshot := h.follower.Snapshot()
		switch {
		case w.truth.State().Version == 0:
		case snapshot == nil || !h.follower.Fresh(w.fleet.Now):
			w.breaks("service comes back", "%s is not fresh: %+v", r.Member.Name, h.follower.Status())
		case marshal(snapshot.State) != want:
			w.breaks("all folds agree", "%s has %s, the log says %s", r.Member.Name, marshal(snapshot.State), want)
		}
	}
}

// restore lets an operator put a configuration in force if a router says that
// records expired before it read them, as after a long outage of the log in
// which every router was replaced.
func (w *world) restore() {
	needed := false
	for _, r := range w.fleet.Routers {
		h := w.hosts[r]
		gap := h.follower.Status().Missing
		needed = needed || gap != nil
		if gap != nil {
			_, err := h.follower.BeginSubmission(configlog.Change{ID: "late", Op: configlog.OpPush, Config: zoneConfig("late")})
			refusal, ok := outcome.AsRefusal(err)
			if !ok || refusal.Code != outcome.RestoreNeeded {
				w.breaks("a gap is told", "%s took a change on a configuration with missing records: %v", r.Member.Name, err)
			}
		}
	}
	if !needed {
		return
	}
	w.counts.Restored++
	w.sync()
	h := w.hosts[w.fleet.Routers[0]]
	s, err := h.follower.BeginSubmission(configlog.Change{ID: "restore", Op: configlog.OpRestore, Config: zoneConfig("restored")})
	if err != nil {
		w.breaks("service comes back", "restore: %v", err)
		return
	}
	h.changes, h.ids = append(h.changes, s), append(h.ids, "restore")
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

func (w *world) finishCounts() {
	record := w.log.Stats()
	w.counts.LogAppends = record.Appends
	w.counts.RepliesLost = record.LostReplies
	w.counts.Permits = int(w.site.Served)
	w.counts.VirtualSeconds = int(w.fleet.Now.Sub(sim.Epoch) / time.Second)
}
