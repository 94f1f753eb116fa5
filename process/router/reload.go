package router

import "fmt"

// setBounds puts bounds in force.
func (r *Router) setBounds(b Bounds) {
	r.endpoints.SetBounds(capShare*b.LoadCap, b.ColdOver, b.ColdSlack)
	r.repeats.SetBound(b.RetryRatio, b.RetrySlack)
	r.bounds.Store(&b)
}

// Reload takes on the bounds of s. What else has changed in it takes effect when
// the process starts again. Settings that are not valid change nothing and
// return all faults.
func (r *Router) Reload(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	s = s.withDefaults()
	old, next := *r.bounds.Load(), s.Bounds
	s.Bounds, s.Metrics = r.s.Bounds, r.s.Metrics // Metrics is an argument of the program
	restart := s != r.s
	r.setBounds(next)
	r.log.Info("settings reloaded", "bounds_changed", old != next, "old", fmt.Sprintf("%+v", old), "new", fmt.Sprintf("%+v", next), "restart_needed", restart)
	return nil
}
