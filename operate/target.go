package operate

import (
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// TargetCmd is `stoatctl zone`, `stoatctl host` and `stoatctl endpoint`.
type TargetCmd struct {
	Out OutCmd `cmd:"" help:"Take it out of service: print the remaining capacity, then wait for its requests to finish."`
	In  InCmd  `cmd:"" help:"Bring it back into service."`
}

// ZoneCmd is `stoatctl zone`.
type ZoneCmd struct{ TargetCmd }

// AfterApply sets the scope of the command.
func (c *ZoneCmd) AfterApply() error { return c.scope(config.ScopeZone) }

// HostCmd is `stoatctl host`.
type HostCmd struct{ TargetCmd }

// AfterApply sets the scope of the command.
func (c *HostCmd) AfterApply() error { return c.scope(config.ScopeHost) }

// EndpointCmd is `stoatctl endpoint`.
type EndpointCmd struct{ TargetCmd }

// AfterApply sets the scope of the command.
func (c *EndpointCmd) AfterApply() error { return c.scope(config.ScopeEndpoint) }

func (c *TargetCmd) scope(scope config.Scope) error {
	c.Out.scope, c.In.scope = scope, scope
	return nil
}

// markCmd holds the flags that OutCmd, which marks a target out of service, and InCmd share.
type markCmd struct {
	JSON
	Connection
	Name   string `arg:"" help:"Name of the zone, host or endpoint."`
	Reason string `help:"Reason to record in the history." placeholder:"TEXT"`

	scope config.Scope
}

// OutCmd takes a target out of service.
type OutCmd struct {
	markCmd
	Yes   bool          `help:"Proceed even if guarantees would be violated."`
	Drain time.Duration `help:"How long to wait for requests to finish; 0s: do not wait." default:"60s"`
}

// InCmd brings a target back into service.
type InCmd struct {
	markCmd
}

// markResult is the JSON output of OutCmd and InCmd.
type markResult struct {
	Impact  plan.Impact    `json:"impact"`
	Version config.Version `json:"version"`
	Ms      int64          `json:"ms"` // until it was accepted
	// Remaining is the last known number of requests in progress at the target; -1: not asked.
	Remaining int   `json:"left"`
	DrainMs   int64 `json:"drain_ms"`
}

func (c *markCmd) mark(out bool) api.Mark {
	return api.Mark{Target: config.Target{Scope: c.scope, Name: c.Name}, Out: out, Reason: c.Reason}
}

// Run takes the target out.
func (c *OutCmd) Run(env *Env) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	mark := c.mark(true)
	result := markResult{Remaining: -1}
	if result.Impact, err = cl.Preview(env.Context, mark); err != nil {
		return err
	}
	if !c.JSON.JSON {
		writeImpact(env, result.Impact, true)
	}
	if err := c.confirmImpact(env, result.Impact); err != nil {
		return err
	}
	if err := c.submit(env, cl, mark, &result); err != nil {
		return err
	}
	if c.Drain > 0 {
		if err := c.waitDrained(env, cl, mark.Target, &result); err != nil {
			return err
		}
	}
	if c.JSON.JSON {
		return env.writeJSON(result)
	}
	return nil
}

// confirmImpact asks for confirmation if guarantees would be violated.
func (c *OutCmd) confirmImpact(env *Env, impact plan.Impact) error {
	if !impact.Disruptive || c.Yes {
		return nil
	}
	if !env.Interactive {
		return errors.Errorf("taking %s %s out of service would violate guarantees; give --yes to proceed", c.scope, c.Name)
	}
	if !env.confirm("Guarantees would be violated. Proceed?") {
		return errors.New("nothing was changed")
	}
	return nil
}

// Run brings the target back.
func (c *InCmd) Run(env *Env) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	mark := c.mark(false)
	result := markResult{Remaining: -1}
	if result.Impact, err = cl.Preview(env.Context, mark); err != nil {
		return err
	}
	if !c.JSON.JSON {
		writeImpact(env, result.Impact, false)
	}
	if err := c.submit(env, cl, mark, &result); err != nil {
		return err
	}
	if c.JSON.JSON {
		return env.writeJSON(result)
	}
	return nil
}

func (c *markCmd) submit(env *Env, cl *client.Client, mark api.Mark, result *markResult) error {
	started := env.Clock.Now()
	version, err := cl.Mark(env.Context, mark)
	if err != nil {
		return err
	}
	result.Version = version
	result.Ms = env.Clock.Since(started).Milliseconds()
	if !c.JSON.JSON {
		state := "back in service"
		if mark.Out {
			state = "out of service"
		}
		env.printf("%s %s %s is %s, version %d, after %d ms\n", env.colour(green, "accepted:"), c.scope, c.Name, state, version, result.Ms)
	}
	return nil
}

// writeImpact prints the capacity that remains after the change.
func writeImpact(env *Env, impact plan.Impact, out bool) {
	verb := "back in service would give"
	if out {
		verb = "out of service would leave"
	}
	env.printf("%s %s %s:\n", impact.Target.Scope, impact.Target.Name, verb)
	rows := &table{env: env}
	rows.add("entry hosts", impact.HostsAfter, "now "+itoa(impact.HostsBefore))
	for _, group := range impact.Groups {
		rows.add(group.Group+" endpoints", group.EndpointsAfter, "now "+itoa(group.EndpointsBefore))
		colour := green
		if group.Load > group.CapacityAfter {
			colour = red
		}
		rows.add(group.Group+" requests at a time", cell{itoa(group.CapacityAfter), colour}, "now "+itoa(group.CapacityBefore)+", "+itoa(group.Load)+" in progress or waiting")
	}
	rows.write("  ")
	if !out {
		return
	}
	env.printf("  %d requests are in progress there and would be allowed to finish\n", impact.InProgress)
	writeAffectedKinds(env, impact)
}

func writeAffectedKinds(env *Env, impact plan.Impact) {
	if len(impact.Kinds) == 0 {
		env.printf("  no kind of request would suffer\n")
		return
	}
	for _, kind := range impact.Kinds {
		switch {
		case kind.Effect == plan.EffectStops:
			env.printf("  %s: %s\n", kind.Kind, env.colour(red, "nothing would be left to serve it"))
		case kind.CanWait:
			env.printf("  %s: %s\n", kind.Kind, env.colour(yellow, itoa(kind.Displaced)+" of "+itoa(kind.Load)+" would wait, which this kind allows"))
		default:
			env.printf("  %s: %s\n", kind.Kind, env.colour(red, itoa(kind.Displaced)+" of "+itoa(kind.Load)+" would wait or be refused"))
		}
	}
}
