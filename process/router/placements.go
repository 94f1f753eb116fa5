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
		p, err := r.adapter.LoadPlacements(call)
		cancel()
		if err == nil {
			r.endpoints.RestorePlacements(time.Now(), p)
			r.log.Info("placements loaded", "keys", len(p))
			return
		}
		r.log.Info("loading placements failed", "error", err.Error())
	}
}
