package router

import (
	"context"
	"time"
)

const (
	// saveInterval is the pause between writes of the placements.
	saveInterval = 2500 * time.Millisecond
	// saveWindow limits the placements that are saved to those of recent requests.
	saveWindow = 30 * time.Second
	// loadAttempts bounds the reads of the placements at the start, for which readiness waits.
	loadAttempts = 2
)

// syncPlacements reads the placements that an earlier process saved, and then saves
// the current ones of all routers while this router is the writer. Placements are
// hints: two writers, or none, only cost cache reuse.
func (r *Router) syncPlacements(ctx context.Context) {
	r.loadPlacements(ctx)
	r.placementsTried.Store(true)
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !r.isPlacementWriter() {
			continue
		}
		now := time.Now()
		r.saveCrashes(ctx, now)
		p := Placements(r.endpoints.Placements(now.Add(-saveWindow)))
		if len(p) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := r.adapter.SavePlacements(call, p); err != nil {
			r.log.Info("saving placements failed", "keys", len(p), "error", err.Error())
		}
		cancel()
	}
}

// saveCrashes saves the bodies that crashed endpoints, so that they stay refused when
// all routers restart.
func (r *Router) saveCrashes(ctx context.Context, now time.Time) {
	reports := r.quarantine.Reports(now)
	if len(reports) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.adapter.SaveCrashes(call, reports); err != nil {
		r.log.Info("saving crashing bodies failed", "bodies", len(reports), "error", err.Error())
	}
}

// isPlacementWriter reports whether this router has the first name of those that
// take requests.
func (r *Router) isPlacementWriter() bool {
	if !r.Ready() {
		return false
	}
	ready := r.peers.Ready(time.Now())
	return len(ready) == 0 || r.s.Name < ready[0].Name
}

func (r *Router) loadPlacements(ctx context.Context) {
	for range loadAttempts {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		h, err := r.adapter.LoadHints(call)
		cancel()
		if err == nil {
			now := time.Now()
			r.endpoints.RestorePlacements(now, h.Placements)
			r.quarantine.Merge(now, h.Crashes)
			r.log.Info("placements loaded", "keys", len(h.Placements), "crashing_bodies", len(h.Crashes))
			return
		}
		r.log.Info("loading placements failed", "error", err.Error())
	}
}
