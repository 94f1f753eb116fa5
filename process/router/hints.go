package router

import (
	"context"
	"time"
)

const (
	// saveInterval is the pause between writes of the hints.
	saveInterval = 2500 * time.Millisecond
	// saveWindow limits the placements that are saved to those of recent requests.
	saveWindow = 30 * time.Second
	// loadAttempts bounds the reads of the hints at the start, for which readiness waits.
	loadAttempts = 2
	// loadTime is how long further attempts are made, at the pace of saveInterval.
	loadTime = 30 * time.Second
)

// syncHints reads the hints that an earlier process saved, and then saves the current
// ones of all routers while this router is the writer. Two writers do no harm. Without
// one, processes that start when no other router runs find fewer prompts cached, may
// send a quarantined body again, and refuse streams of before their start.
func (r *Router) syncHints(ctx context.Context) {
	loaded := false
	for n := 0; n < loadAttempts && !loaded; n++ {
		loaded = r.loadHints(ctx)
	}
	r.hintsTried.Store(true)
	giveUp := time.Now().Add(loadTime)
	every(ctx, saveInterval, func(now time.Time) {
		if !loaded && now.Before(giveUp) {
			loaded = r.loadHints(ctx) // before they are overwritten
		} else if r.isHintWriter() {
			r.saveHints(ctx, now)
		}
	})
}

func (r *Router) saveHints(ctx context.Context, now time.Time) {
	h := Hints{Placements: r.endpoints.Placements(now.Add(-saveWindow)), Crashes: r.quarantine.Reports(now), Versions: r.origins.History(now)}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.adapter.SaveHints(call, h); err != nil {
		r.log.Info("saving hints failed", "keys", len(h.Placements), "error", err.Error())
	}
}

// isHintWriter reports whether this router has the first name of those that
// take requests.
func (r *Router) isHintWriter() bool {
	if !r.Ready() {
		return false
	}
	ready := r.peers.Ready(time.Now())
	return len(ready) == 0 || r.s.Name < ready[0].Name
}

// loadHints reads the hints once and reports whether that succeeded.
func (r *Router) loadHints(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err := r.adapter.LoadHints(call)
	if err != nil {
		r.log.Info("loading hints failed", "error", err.Error())
		return false
	}
	now := time.Now()
	r.endpoints.RestorePlacements(now, h.Placements)
	r.quarantine.Merge(now, h.Crashes)
	r.origins.Restore(now, h.Versions)
	if r.s.FirstStart && h.Versions.SavedAtMS == 0 {
		r.origins.SetFirst(now)
	}
	r.log.Info("hints loaded", "keys", len(h.Placements), "crashing_bodies", len(h.Crashes))
	return true
}
