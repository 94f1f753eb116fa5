package router

import (
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/balance"
)

// runsTrials reports whether this router runs the trials of a quarantined body: it is
// the first by rendezvous weight of those that take requests.
func (r *Router) runsTrials(f suspect.Fingerprint) bool {
	own := balance.RendezvousWeight(uint64(f), r.s.Name)
	for _, m := range r.peers.Ready(time.Now()) {
		if balance.RendezvousWeight(uint64(f), m.Name) > own {
			return false
		}
	}
	return true
}

// onLeaving logs that an endpoint announced that it leaves, and tells the other routers.
func (r *Router) onLeaving(g *balance.Grant) {
	r.log.Info("endpoint leaving", "endpoint", g.ID, "service", g.Service, "zone", g.Zone, "announced", true)
	r.sendNow()
	r.saveLeaving()
	r.permits.endpointsChanged(time.Now())
}

// onAnnounced logs that an endpoint says something else about the requests that it takes, and
// tells the other routers.
func (r *Router) onAnnounced(g *balance.Grant, a balance.Announcement) {
	r.log.Info("endpoint announcement changed", "endpoint", g.ID, "service", g.Service, "limited", a.Limited, "per_second", a.PerSecond,
		"brittle", a.Brittle, "max_rejections", a.MaxRejections)
	r.sendNow()
}

// onCrashChange logs the change of a body or of a part of prompts that crashed endpoints,
// and tells the other routers at once of a change that this router saw.
func (r *Router) onCrashChange(c quarantine.Change) {
	switch {
	case c.Part != 0:
		r.log.Info("crashing part changed", "part", strconv.FormatUint(c.Part, 16), "with", len(c.With), "crashes", c.Crashes, "resets", c.Resets,
			"suspected", c.Suspected, "quarantined", !c.Suspected && c.Quarantined(), "own", c.Own)
	case c.Own || c.Quarantined():
		r.log.Info("crashing body changed", "body", c.Fingerprint.Key(), "crashes", c.Crashes, "resets", c.Resets, "quarantined", c.Quarantined(), "own", c.Own)
	}
	if c.Own {
		r.sendNow()
	}
}
