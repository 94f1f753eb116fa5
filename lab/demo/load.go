package demo

import (
	"time"

	"github.com/stoatmount/stoatmount/lab/load"
	"github.com/stoatmount/stoatmount/version/config"
)

// workspaces returns the callers' workspaces. On loopback they need no keys.
func workspaces(configured []config.Workspace) []load.Workspace {
	list := make([]load.Workspace, 0, len(configured))
	for _, w := range configured {
		list = append(list, load.Workspace{Name: w.Name})
	}
	return list
}

// kinds returns the load of the example Voces Unidas, accelerated.
func kinds() []load.Kind {
	return []load.Kind{
		{
			Name: "booth-booking", Service: "studio-booking", Path: "/bookings", Keyed: true,
			DuplicateShare: 0.2, PerSecond: 4, ResponseTokens: 4, Deadline: 10 * time.Second,
		},
		{
			Name: "director-confirmation", Service: "studio-booking", Path: "/confirmations", Keyed: true,
			DuplicateShare: 0.2, PerSecond: 3, ResponseTokens: 4, Deadline: 15 * time.Second,
		},
		{
			Name: "live-script-adaptation", PerSecond: 4, Turns: 6,
			PauseMin: 500 * time.Millisecond, PauseMax: 2 * time.Second, WithoutPlaceTokenShare: 0.1, StreamShare: 1,
			PromptTokens: 120, ResponseTokens: 40, Deadline: 40 * time.Second,
		},
		{
			Name: "script-adaptation", PerSecond: 2, Turns: 8,
			PauseMin: time.Second, PauseMax: 4 * time.Second, WithoutPlaceTokenShare: 0.2, StreamShare: 0.5,
			PromptTokens: 200, ResponseTokens: 60, Deadline: 90 * time.Second,
		},
		{
			Name: "archive-tagging", PerSecond: 3, PromptTokens: 150, ResponseTokens: 20, Deadline: 2 * time.Minute,
		},
	}
}
