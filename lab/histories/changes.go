package histories

import (
	"context"
	"fmt"

	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// submitChange submits an operator's change to a random router.
func (h *history) submitChange() {
	r := h.randomRouter()
	if !r.Up || r.Paused {
		return
	}
	h.syncClock()
	proc := h.processes[r]
	h.changeCount++
	c := configlog.Change{ID: fmt.Sprintf("c%d", h.changeCount), Base: proc.follower.Version()}
	switch h.rng.IntN(3) {
	case 0:
		c.Op, c.Config = configlog.OpPush, configWithModelVersion(c.ID)
	case 1:
		c.Op, c.Target = configlog.OpTakeOut, &config.Target{Scope: config.ScopeZone, Name: "b"}
	default:
		c.Op, c.Target = configlog.OpBringBack, &config.Target{Scope: config.ScopeZone, Name: "b"}
	}
	s, err := proc.follower.BeginSubmission(c)
	if err != nil {
		h.counts.Refused++
		return
	}
	proc.submissions = append(proc.submissions, s)
	proc.changeIDs = append(proc.changeIDs, c.ID)
}

// advanceChanges advances the submissions of proc and checks those that are done.
func (h *history) advanceChanges(proc *process) {
	changes, ids := proc.submissions[:0], proc.changeIDs[:0]
	for i, s := range proc.submissions {
		s.Step(context.Background())
		if s.Done() {
			h.checkDecision(proc.changeIDs[i], s)
			continue
		}
		if h.mutation == acceptOnAppend {
			h.recordIfAccepted(proc.changeIDs[i])
		}
		changes, ids = append(changes, s), append(ids, proc.changeIDs[i])
	}
	proc.submissions, proc.changeIDs = changes, ids
}

func (h *history) recordIfAccepted(id string) {
	entry, ok := h.foldLog().EntryOf(id)
	if ok && entry.Decision.Accepted {
		h.recordAccepted(entry.Decision.Version)
	}
}

func (h *history) recordAccepted(version config.Version) {
	if _, known := h.acceptedAt[version]; !known {
		h.acceptedAt[version] = h.fleet.Now
	}
}

// checkDecision checks the decision that an operator gets against the log.
func (h *history) checkDecision(id string, s *configlog.Submission) {
	decided, err := s.Result()
	entry, inLog := h.foldLog().EntryOf(id)
	refusal, refused := outcome.AsRefusal(err)
	switch {
	case refused && refusal.Code == outcome.LogUnavailable:
		h.counts.Refused++
		if inLog && entry.Decision.Accepted {
			h.addViolation("accepted only when it is", "change %s was refused, but is version %d", id, entry.Decision.Version)
		}
	case refused:
		h.counts.Unknown++
	case !inLog || entry.Decision.Accepted != decided.Accepted:
		h.addViolation("accepted only when it is", "change %s was reported as %+v, the log has %+v", id, decided, entry.Decision)
	case decided.Accepted:
		h.counts.Accepted++
		h.recordAccepted(decided.Version)
	default:
		h.counts.Rejected++
	}
}
