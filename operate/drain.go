package operate

import (
	"strconv"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/version/config"
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

// waitDrained waits until no requests are in progress at target or c.Drain has
// passed, and stores their number in result. Without --json it also prints it.
func (c *OutCmd) waitDrained(env *Env, cl *client.Client, target config.Target, result *markResult) error {
	state, err := cl.Config(env.Context)
	if err != nil {
		return err
	}
	started := env.Clock.Now()
	shown := -1
	for {
		fleet, err := cl.Status(env.Context)
		if err != nil {
			return err
		}
		remaining, known := inProgressAt(fleet, state.Config, target)
		waited := env.Clock.Since(started)
		result.Remaining, result.DrainMs = remaining, waited.Milliseconds()
		if remaining != shown && !c.JSON.JSON {
			env.printf("  %6.1fs  %d in progress\n", waited.Seconds(), remaining)
			shown = remaining
		}
		if remaining == 0 && known {
			if !c.JSON.JSON {
				env.printf("%s\n", env.colour(green, "drained"))
			}
			return nil
		}
		if waited >= c.Drain {
			env.notef("not drained within %v: %d still in progress%s\n", c.Drain, remaining, unknownNote(known))
			return nil
		}
		if err := env.sleep(env.Poll); err != nil {
			return err
		}
	}
}

func unknownNote(known bool) string {
	if known {
		return ""
	}
	return "; some routers did not answer, so there may be more"
}

// inProgressAt returns the number of requests in progress at target. known is false
// if a router that may hold more of them did not answer.
func inProgressAt(fleet api.Fleet, c config.Config, target config.Target) (remaining int, known bool) {
	affected := make(map[string]bool)
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		affected[e.Name] = target.Scope == config.ScopeZone && e.Zone == target.Name ||
			target.Scope == config.ScopeEndpoint && e.Name == target.Name
	}
	known = true
	for i := range fleet.Routers {
		router := &fleet.Routers[i]
		if target.Scope == config.ScopeHost {
			if router.Name == target.Name {
				remaining += router.InProgress
				known = known && !router.Unreachable
			}
			continue
		}
		known = known && !router.Unreachable
		for _, e := range router.Endpoints {
			if affected[e.Name] {
				remaining += e.Permits
			}
		}
	}
	return remaining, known
}
