package loadshed

import (
	"math"
	"time"
)

const (
	// leastActive is the part of a slot from which a workspace counts as active.
	leastActive = 0.05
	// mostOver bounds the bands by which a workspace over its part is set behind:
	// no further than by a rank of urgency.
	mostOver = rankBands
	// mostWorkspaces bounds the workspaces that are remembered.
	mostWorkspaces = 4096
)

// WorkspaceDemand is the work of a service's requests that came lately, by
// workspace, as the number of slots that it would occupy. Its zero value is
// ready for use; it is not safe for concurrent use.
type WorkspaceDemand struct {
	at    time.Time
	slots map[string]float64
}

// Add notes a request.
func (s *WorkspaceDemand) Add(now time.Time, workspace string, work time.Duration) {
	s.settle(now)
	if s.slots == nil || len(s.slots) >= mostWorkspaces {
		s.slots = make(map[string]float64)
	}
	s.slots[workspace] += float64(work) / float64(demandOver)
}

func (s *WorkspaceDemand) settle(now time.Time) {
	kept := fade(&s.at, now)
	for name, slots := range s.slots {
		if slots *= kept; slots < leastActive {
			delete(s.slots, name)
		} else {
			s.slots[name] = slots
		}
	}
}

// Penalty returns by how many bands the requests of a workspace are set behind
// while endpoints are busy: none while it asks for no more than an equal part of
// the slots, then more with each doubling.
func (s *WorkspaceDemand) Penalty(workspace string, slots float64) int {
	own := s.slots[workspace]
	part := slots / float64(max(1, len(s.slots)))
	if part <= 0 || own <= part {
		return 0
	}
	return min(mostOver, int(math.Ceil(bandsPerDoubling*math.Log2(own/part))))
}
