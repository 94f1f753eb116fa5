package operator

import (
	"context"
	"fmt"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// Follower is the part of configlog.Follower that ConfigChanges needs.
type Follower interface {
	Snapshot() *config.Snapshot
	History() []configlog.Entry
	Submit(ctx context.Context, c configlog.Change) (configlog.Decision, error)
}

// ConfigChanges implements the methods of Controller for the configuration.
type ConfigChanges struct {
	Follower Follower
}

// InvalidError is returned for a change whose configuration is invalid.
type InvalidError struct {
	Refusal  *outcome.Refusal
	Problems []config.Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Refusal.Error()
}

// Unwrap returns the refusal.
func (e *InvalidError) Unwrap() error {
	return e.Refusal
}

// Snapshot implements Controller.
func (c ConfigChanges) Snapshot() *config.Snapshot {
	return c.Follower.Snapshot()
}

// History implements Controller.
func (c ConfigChanges) History(_ context.Context, limit int) (api.History, error) {
	entries := c.Follower.History()
	history := api.History{Complete: len(entries) <= limit}
	for i := len(entries) - 1; i >= 0 && len(history.Changes) < limit; i-- {
		history.Changes = append(history.Changes, toAPIChange(&entries[i]))
	}
	return history, nil
}

// toAPIChange converts an entry of the log for operators.
func toAPIChange(e *configlog.Entry) api.Change {
	summary := string(e.Op)
	switch {
	case e.Target != nil:
		summary = fmt.Sprintf("%s %s %s", e.Target.Scope, e.Target.Name, e.Op)
	case e.Op == configlog.OpPush:
		summary = "configuration"
	case e.Op == configlog.OpRestore:
		summary = "configuration restored"
	}
	if e.Reason != "" {
		summary += ": " + e.Reason
	}
	c := api.Change{
		Version:  config.Version(e.Offset),
		Base:     e.Base,
		At:       e.At,
		Author:   e.Author,
		Summary:  summary,
		Target:   e.Target,
		Out:      e.Op == configlog.OpTakeOut,
		Accepted: e.Decision.Accepted,
	}
	if !c.Accepted {
		c.Reason = fmt.Sprintf("%d %s: %s", int(e.Decision.Code), e.Decision.Code, e.Decision.Detail)
	}
	return c
}

// Push implements Controller.
func (c ConfigChanges) Push(ctx context.Context, author string, push api.Push) (config.Version, error) {
	op := configlog.OpPush
	if push.Restore {
		op = configlog.OpRestore
	}
	return c.submit(ctx, configlog.Change{
		Base:   push.Base,
		Author: author,
		Reason: push.Reason,
		Op:     op,
		Config: &push.Config,
	})
}

// Mark implements Controller.
func (c ConfigChanges) Mark(ctx context.Context, author string, mark api.Mark) (config.Version, error) {
	op := configlog.OpBringBack
	if mark.Out {
		op = configlog.OpTakeOut
	}
	if snapshot := c.Follower.Snapshot(); mark.Base == 0 && snapshot != nil {
		mark.Base = snapshot.Version
	}
	return c.submit(ctx, configlog.Change{
		Base:   mark.Base,
		Author: author,
		Reason: mark.Reason,
		Op:     op,
		Target: &mark.Target,
	})
}

func (c ConfigChanges) submit(ctx context.Context, change configlog.Change) (config.Version, error) {
	decision, err := c.Follower.Submit(ctx, change)
	if err != nil {
		return 0, err
	}
	if decision.Accepted {
		return decision.Version, nil
	}
	refusal := outcome.NotRun(decision.Code, "%s", decision.Detail)
	if len(decision.Problems) > 0 {
		// The problems already contain the detail.
		refusal.Detail = ""
		return 0, &InvalidError{Refusal: refusal, Problems: decision.Problems}
	}
	return 0, refusal
}
