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
	// maxWorkspaces bounds the workspaces that are tracked.
	maxWorkspaces = 4096
)

// WorkspaceDemand is the decaying average of the work of a service's requests, by
// workspace, in slots that it would occupy. Its zero value is ready for use; it
// is not safe for concurrent use.
type WorkspaceDemand struct {
	at    time.Time
	slots map[string]float64
}

// Add records a request.
func (s *WorkspaceDemand) Add(now time.Time, workspace string, work time.Duration) {
	s.decay(now)
	if s.slots == nil || len(s.slots) >= maxWorkspaces {
		s.slots = make(map[string]float64)
	}
	s.slots[workspace] += float64(work) / float64(demandWindow)
}

func (s *WorkspaceDemand) decay(now time.Time) {
	factor := decayFactor(&s.at, now)
	for name, slots := range s.slots {
		if slots *= factor; slots < minActive {
			delete(s.slots, name)
		} else {
			s.slots[name] = slots
		}
	}
}

// Penalty returns by how many bands a workspace's requests are set back while
// endpoints are busy: 0 while its demand is within an equal share of the slots,
// then more with each doubling.
func (s *WorkspaceDemand) Penalty(workspace string, slots float64) int {
	own := s.slots[workspace]
	fairShare := slots / float64(max(1, len(s.slots)))
	if fairShare <= 0 || own <= fairShare {
		return 0
	}
	return min(maxPenalty, int(math.Ceil(bandsPerDoubling*math.Log2(own/fairShare))))
}
