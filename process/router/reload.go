package router

import (
	"fmt"

	"github.com/stoatmount/stoatmount/process/rollout"
)

func (r *Router) setBounds(b Bounds) {
	r.endpoints.SetCaps(capShare*b.LoadCap, b.ColdOver, b.ColdSlack)
	r.retryBudget.SetBound(b.RetryRatio, b.RetrySlack)
	r.rollouts.table.SetLimits(rollout.Limits{CanaryShare: b.CanaryShare, CanarySlack: b.CanarySlack, Rollback: b.Rollback})
	r.bounds.Store(&b)
}

// Reload applies the bounds of s. Its other changes take effect when the process is
// restarted. If s is invalid, Reload changes nothing and returns all problems.
func (r *Router) Reload(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	s = s.withDefaults()
	old, next := *r.bounds.Load(), s.Bounds
	s.Bounds, s.Metrics = r.s.Bounds, r.s.Metrics // Metrics is a command-line argument
	s.FirstStart = r.s.FirstStart                 // says nothing about a running process
	restart := s != r.s
	r.setBounds(next)
	r.log.Info("settings reloaded", "bounds_changed", old != next, "old", fmt.Sprintf("%+v", old), "new", fmt.Sprintf("%+v", next), "restart_needed", restart)
	return nil
}
