package router

import (
	"context"
	"time"
)

const (
	// saveEvery is the pause between records of the placements.
	saveEvery = 2500 * time.Millisecond
	// saveSince bounds the placements that are saved to those of recent requests.
	saveSince = 30 * time.Second
	// loadTries bounds the reads of the placements at the start, for which
	// readiness waits.
	loadTries = 2
)

// keepPlacements reads the placements that an earlier process left and then
// saves the fleet's own while this router is the one that does so. They are
// hints: two routers that save, or none, cost cache reuse only.
func (r *Router) keepPlacements(ctx context.Context) {
	r.loadPlacements(ctx)
	r.placementsAsked.Store(true)
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !r.savesPlacements() {
			continue
		}
		now := time.Now()
		p := Placements(r.endpoints.Placements(now.Add(-saveSince)))
		if len(p) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := r.adapter.SavePlacements(call, p); err != nil {
			r.log.Info("placements not saved", "keys", len(p), "error", err.Error())
		}
		cancel()
	}
}

// savesPlacements reports whether this router has the first name of those that
// take requests.
func (r *Router) savesPlacements() bool {
	if !r.Ready() {
		return false
	}
	ready := r.peers.Ready(time.Now())
	return len(ready) == 0 || r.s.Name < ready[0].Name
}

func (r *Router) loadPlacements(ctx context.Context) {
	for range loadTries {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		p, err := r.adapter.LoadPlacements(call)
		cancel()
		if err == nil {
			r.endpoints.RestorePlacements(time.Now(), p)
			r.log.Info("placements read", "keys", len(p))
			return
		}
		r.log.Info("placements not read", "error", err.Error())
	}
}
