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

// watch shows the work of target drain until none is left or c.Drain is over.
func (c *OutCmd) watch(env *Env, cl *client.Client, target config.Target, result *marked) error {
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
		left, known := workLeft(fleet, state.Config, target)
		waited := env.Clock.Since(started)
		result.Left, result.DrainMs = left, waited.Milliseconds()
		if left != shown && !c.JSON.JSON {
			env.printf("  %6.1fs  %d in progress\n", waited.Seconds(), left)
			shown = left
		}
		if left == 0 && known {
			if !c.JSON.JSON {
				env.printf("%s\n", env.paint(green, "drained"))
			}
			return nil
		}
		if waited >= c.Drain {
			env.notef("not drained within %v: %d still in progress%s\n", c.Drain, left, unknownNote(known))
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

// workLeft returns the requests in progress at target. It reports whether all
// routers that could know of more have answered.
func workLeft(fleet api.Fleet, c config.Config, target config.Target) (left int, known bool) {
	covered := make(map[string]bool)
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		covered[e.Name] = target.Scope == config.ScopeZone && e.Zone == target.Name ||
			target.Scope == config.ScopeEndpoint && e.Name == target.Name
	}
	known = true
	for i := range fleet.Routers {
		router := &fleet.Routers[i]
		if target.Scope == config.ScopeHost {
			if router.Name == target.Name {
				left += router.InProgress
				known = known && !router.Unreachable
			}
			continue
		}
		known = known && !router.Unreachable
		for _, e := range router.Endpoints {
			if covered[e.Name] {
				left += e.Permits
			}
		}
	}
	return left, known
}
