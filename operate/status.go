package operate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/version/config"
)

// staleAfter is the age above which values of a router are marked as stale.
const staleAfter = 5 * time.Second

// StatusCmd is `stoatctl status`.
type StatusCmd struct {
	JSON
	Connection
}

// statusResult is the JSON of `stoatctl status`.
type statusResult struct {
	Fleet   api.Fleet             `json:"fleet"`
	Version config.Version        `json:"version"`
	Out     []config.OutOfService `json:"out"`
	Stale   []string              `json:"stale"` // routers whose values are stale
}

// Run shows the fleet.
func (c *StatusCmd) Run(env *Env) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	state, err := cl.Config(env.Context)
	if err != nil {
		return err
	}
	fleet, err := cl.Status(env.Context)
	if err != nil {
		return err
	}
	result := statusResult{Fleet: fleet, Version: state.Version, Out: state.OutOfService, Stale: []string{}}
	for i := range fleet.Routers {
		if stale(&fleet.Routers[i]) {
			result.Stale = append(result.Stale, fleet.Routers[i].Name)
		}
	}
	if c.JSON.JSON {
		return env.writeJSON(result)
	}
	writeStatus(env, result, state.Config)
	return nil
}

func stale(r *api.Router) bool {
	return r.Unreachable || time.Duration(r.AgeMs)*time.Millisecond > staleAfter
}

func writeStatus(env *Env, result statusResult, c config.Config) {
	fleet := result.Fleet
	env.printf("as seen by %s at %s: configuration %d, %d routers, %d endpoints\n",
		fleet.RespondedBy, fleet.At.UTC().Format(time.RFC3339), result.Version, len(fleet.Routers), len(c.Endpoints))
	for _, mark := range result.Out {
		env.printf("%s: %s %s since %s by %s\n", env.colour(yellow, "out of service"), mark.Target.Scope, mark.Target.Name, mark.Since.UTC().Format(time.RFC3339), mark.Author)
	}
	writeWarnings(env, fleet)
	env.printf("\n")
	writeRouters(env, result, config.NewSnapshot(config.State{Config: c, OutOfService: result.Out}))
	env.printf("\n")
	writeEndpoints(env, result, c)
	if len(result.Stale) > 0 {
		env.printf("\n* last seen, not current: %s\n", strings.Join(result.Stale, ", "))
	}
}

// writeWarnings prints conditions that need an operator's attention.
func writeWarnings(env *Env, fleet api.Fleet) {
	views := make(map[string][]uint64)
	for i := range fleet.Routers {
		r := &fleet.Routers[i]
		if r.InvariantViolations > 0 {
			env.printf("%s: %s counted %d violated guarantees; see its log\n", env.colour(red, "broken"), r.Name, r.InvariantViolations)
		}
		if gap := r.ConfigMissing; gap != nil {
			env.printf("%s: records %d to %d of the configuration expired before %s read them; put a configuration in force with `stoatctl config push FILE --restore`\n",
				env.colour(red, "restore needed"), gap.From, gap.To-1, r.Name)
		}
		if !r.Unreachable && !slices.Contains(views[r.Region], r.View) {
			views[r.Region] = append(views[r.Region], r.View)
		}
	}
	regions := make([]string, 0, len(views))
	for region := range views {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	for _, region := range regions {
		if n := len(views[region]); n > 1 {
			env.printf("%s: the routers of region %s have %d different views of the live routers\n", env.colour(yellow, "settling"), region, n)
		}
	}
}

func writeRouters(env *Env, result statusResult, snapshot *config.Snapshot) {
	rows := &table{env: env}
	rows.add(cell{"ROUTER", bold}, cell{"ZONE", bold}, cell{"STATE", bold}, cell{"CONFIG", bold}, cell{"VIEW", bold},
		cell{"RUNNING", bold}, cell{"WAITING", bold}, cell{"CONTROL B/S", bold}, cell{"UP", bold}, cell{"SEEN", bold})
	for i := range result.Fleet.Routers {
		r := &result.Fleet.Routers[i]
		name := cell{text: r.Name}
		if stale(r) {
			name = cell{r.Name + " *", yellow}
		}
		rows.add(name, r.Zone, routerState(r, snapshot), configCell(r, result.Version), fmt.Sprintf("%08x/%d", uint32(r.View), r.ViewMembers),
			r.InProgress, r.Waiting, fmt.Sprintf("%.0f", r.ControlBytesPerSecond), r.At.Sub(r.Started).Round(time.Second),
			fmt.Sprintf("%v ago", (time.Duration(r.AgeMs)*time.Millisecond).Round(100*time.Millisecond)))
	}
	rows.write("")
}

func routerState(r *api.Router, snapshot *config.Snapshot) cell {
	switch {
	case r.Unreachable:
		return cell{"silent", red}
	case snapshot.HostOutOfService(r.Name, r.Zone):
		return cell{"out", yellow}
	case r.Draining:
		return cell{"draining", yellow}
	case !r.ConfigFresh:
		return cell{"config stale", red}
	default:
		return cell{"serving", green}
	}
}

func configCell(r *api.Router, version config.Version) cell {
	if r.ConfigVersion != version {
		return cell{fmt.Sprint(r.ConfigVersion), yellow}
	}
	return cell{text: fmt.Sprint(r.ConfigVersion)}
}

func writeEndpoints(env *Env, result statusResult, c config.Config) {
	owners := make(map[string]*api.Router) // with the newest report on each endpoint; if all are stale, the first
	loads := make(map[string]api.Endpoint)
	for i := range result.Fleet.Routers {
		r := &result.Fleet.Routers[i]
		for _, e := range r.Endpoints {
			if best := owners[e.Name]; best == nil || !stale(r) && (stale(best) || r.AgeMs < best.AgeMs) {
				owners[e.Name], loads[e.Name] = r, e
			}
		}
	}
	snapshot := config.NewSnapshot(config.State{Config: c, OutOfService: result.Out})
	rows := &table{env: env}
	rows.add(cell{"ENDPOINT", bold}, cell{"SERVES", bold}, cell{"ZONE", bold}, cell{"STATE", bold}, cell{"PERMITS", bold},
		cell{"CAP", bold}, cell{"WAITING", bold}, cell{"OWNER", bold})
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		load, owner := loads[e.Name], owners[e.Name]
		if owner == nil {
			rows.add(e.Name, e.Group(), e.Zone, endpointState(snapshot, i, nil), "?", "?", "?", "none known")
			continue
		}
		name := owner.Name
		if stale(owner) {
			name += " *"
		}
		rows.add(e.Name, e.Group(), e.Zone, endpointState(snapshot, i, &load), load.Permits, load.Cap, load.Waiting, name)
	}
	rows.write("")
}

func endpointState(snapshot *config.Snapshot, index int, load *api.Endpoint) cell {
	switch {
	case snapshot.IndexOutOfService(index):
		return cell{"out", yellow}
	case load == nil:
		return cell{"unknown", yellow}
	case load.Draining:
		return cell{"leaving", yellow}
	case !load.Usable:
		return cell{"lost", red}
	case load.Cold:
		return cell{"cold", yellow}
	default:
		return cell{"warm", green}
	}
}
