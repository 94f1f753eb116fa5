package loadshed

import (
	"math"
	"time"
)

const (
	// minActive is the demand in slots below which a workspace counts as inactive.
	minActive = 0.05
	// maxPenalty bounds the bands by which a workspace over its fair share is set
	// back: by no more than one urgency rank.
	maxPenalty = rankBands
	// maxWorkspaces bounds the tracked workspaces; at the bound all are forgotten.
	maxWorkspaces = 4096
)

// WorkspaceDemand is the decaying average of the work of a service's requests, by
// workspace, measured in occupied slots. Its zero value is ready for use; it
// is not safe for concurrent use.
type WorkspaceDemand struct {
	at    time.Time
	slots map[string]float64
}

// Add records a request.
func (d *WorkspaceDemand) Add(now time.Time, workspace string, work time.Duration) {
	d.decay(now)
	if d.slots == nil || len(d.slots) >= maxWorkspaces {
		d.slots = make(map[string]float64)
	}
	d.slots[workspace] += float64(work) / float64(demandWindow)
}

func (d *WorkspaceDemand) decay(now time.Time) {
	factor := decayFactor(&d.at, now)
	for name, slots := range d.slots {
		if slots *= factor; slots < minActive {
			delete(d.slots, name)
		} else {
			d.slots[name] = slots
		}
	}
}

// Penalty returns by how many bands a workspace's requests are set back while
// endpoints are busy: 0 if its demand at the last Add is within the fair share, an
// equal part of the slots, then bandsPerDoubling per doubling up to maxPenalty.
func (d *WorkspaceDemand) Penalty(workspace string, slots float64) int {
	own := d.slots[workspace]
	fairShare := slots / float64(max(1, len(d.slots)))
	if fairShare <= 0 || own <= fairShare {
		return 0
	}
	return min(maxPenalty, int(math.Ceil(bandsPerDoubling*math.Log2(own/fairShare))))
}
