package trial

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/load"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// tokenTime is the duration of a step of an engine stand-in.
	tokenTime = 10 * time.Millisecond
	// turns is the number of requests of a chat.
	turns = 5
	// pauseMin and pauseMax bound the pause between turns.
	pauseMin = time.Second
	pauseMax = 4 * time.Second
	// promptTokens and responseTokens are the lengths of a chat's messages.
	promptTokens   = 100
	responseTokens = 40
)

// Options describe a trial.
type Options struct {
	Config   config.Config
	Settings []settings.Settings // of each router
	Log      logr.Logger
	Seed     uint64
	// PerSecond is the arrival rate of callers of each kind; 0: no callers.
	PerSecond float64
	// Keys returns the key of a workspace; nil: callers send no key.
	Keys func(workspace string) string
}

// Run runs the trial until ctx ends. It calls ready once all servers listen; no
// configuration is in force then.
func Run(ctx context.Context, o Options, ready func()) error {
	if len(o.Settings) == 0 {
		return errors.New("no entry host")
	}
	next := 0
	f, err := fleet.Start(fleet.Options{
		Config: o.Config, Routers: len(o.Settings), Log: o.Log, Seed: o.Seed,
		Site: testbed.Options{
			Seed: o.Seed, Engine: engine.Options{TokenTime: tokenTime, ColdSlowdown: 2},
			FixedAddresses: true, LogAddr: o.Settings[0].Platform.Log, HostsAddr: o.Settings[0].Platform.Hosts, WeightsAddr: o.Settings[0].Platform.Weights,
		},
		// Routers are created in the order of Settings.
		AdjustSettings: func(s *settings.Settings) {
			*s = o.Settings[next]
			next++
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	ready()
	var callers conc.WaitGroup
	if o.PerSecond > 0 {
		generator, err := load.New(o.load(f))
		if err != nil {
			return err
		}
		callers.Go(func() { generator.Run(ctx) })
	}
	<-ctx.Done()
	callers.Wait()
	return nil
}

func (o *Options) load(f *fleet.Fleet) load.Options {
	options := load.Options{Seed: o.Seed, Entries: f.CallerAddresses()}
	for _, w := range o.Config.Workspaces {
		workspace := load.Workspace{Name: w.Name}
		if o.Keys != nil {
			workspace.Key = o.Keys(w.Name)
		}
		options.Workspaces = append(options.Workspaces, workspace)
	}
	for i := range o.Config.Kinds {
		options.Kinds = append(options.Kinds, o.kind(&o.Config.Kinds[i]))
	}
	return options
}

// kind returns the load of a kind.
func (o *Options) kind(k *config.Kind) load.Kind {
	kind := load.Kind{Name: k.Name, PerSecond: o.PerSecond, ResponseTokens: responseTokens, Deadline: k.Deadline.Std()}
	if k.Service != "" {
		kind.Service, kind.Path = k.Service, "/"+k.Name
		kind.Keyed = k.NonIdempotent
		return kind
	}
	kind.PromptTokens, kind.StreamShare = promptTokens, 0.5
	if !k.CanWait {
		kind.Turns, kind.PauseMin, kind.PauseMax = turns, pauseMin, pauseMax
	}
	return kind
}
