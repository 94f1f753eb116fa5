package router

import (
	"context"
	"time"
)

const (
	// saveInterval is the pause between writes of the hints.
	saveInterval = 2500 * time.Millisecond
	// saveChangeInterval is the least time between writes because an endpoint announced that it leaves.
	saveChangeInterval = 250 * time.Millisecond
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
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	for {
		withPlacements := true
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.leavingChanged:
			withPlacements = false         // they are large, and change all the time
			sleep(ctx, saveChangeInterval) // others may announce it at the same time
		}
		if now := time.Now(); !loaded && now.Before(giveUp) {
			loaded = r.loadHints(ctx) // before they are overwritten
		} else if r.isHintWriter() {
			r.saveHints(ctx, now, withPlacements)
		}
	}
}

// saveLeaving saves the hints before their time, as an endpoint announced that it leaves.
func (r *Router) saveLeaving() {
	select {
	case r.leavingChanged <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (r *Router) saveHints(ctx context.Context, now time.Time, withPlacements bool) {
	h := Hints{Crashes: r.quarantine.Worst(now), Versions: r.origins.History(now), Leaving: r.endpoints.Leaving(now)}
	if withPlacements {
		h.Placements = r.endpoints.Placements(now.Add(-saveWindow))
	}
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
	r.endpoints.MergeLeaving(now, h.Leaving)
	r.origins.Restore(now, h.Versions)
	if r.s.FirstStart && h.Versions.SavedAtMS == 0 {
		r.origins.SetFirst(now)
	}
	r.log.Info("hints loaded", "keys", len(h.Placements), "crashing_bodies", len(h.Crashes))
	return true
}
