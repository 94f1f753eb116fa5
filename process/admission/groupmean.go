package admission

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
)

// meanFanIn is the group size up to which owners report as often as
// Config.MeanEvery allows. Owners of larger groups report less often, to bound
// the traffic of the router that computes the mean.
const meanFanIn = 8

// meanEvery returns the minimum time between two reports for n endpoints.
func (c *Config) meanEvery(n int) time.Duration {
	return c.MeanEvery * time.Duration(max(1, (n+meanFanIn-1)/meanFanIn))
}

// sentLoad is the load last reported for a group.
type sentLoad struct {
	at      time.Time
	permits int
	usable  int
}

// GroupLoads returns the loads that are due to be sent to the owners of the group
// means, because they changed or the keep-alive time has passed.
func (o *Owner) GroupLoads(now time.Time) []*peerpb.GroupLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	bindings := o.members.Bindings(now)
	var groups []string
	loads := make(map[string]*peerpb.GroupLoad)
	for _, name := range o.names {
		settings := o.snap.Endpoint(name)
		e := o.endpoints[name]
		if settings == nil || (e.counted(bindings) == 0 && len(e.permits) == 0) {
			continue
		}
		group := settings.Group()
		load := loads[group]
		if load == nil {
			load = &peerpb.GroupLoad{Group: group}
			loads[group] = load
			groups = append(groups, group)
		}
		load.Endpoints = append(load.Endpoints, o.endpointLoad(now, e, bindings))
	}
	var due []*peerpb.GroupLoad
	for _, group := range groups {
		if o.loadDue(now, loads[group]) {
			due = append(due, loads[group])
		}
	}
	return due
}

// endpointLoad returns the load of e. An endpoint without grantable permits does
// not lower the mean.
func (o *Owner) endpointLoad(now time.Time, e *endpoint, bindings *member.Bindings) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{
		Endpoint: e.name,
		Permits:  uint32(len(e.permits)),
		Waiting:  uint32(len(e.waiting)),
		Usable:   o.limit(now, e, bindings).permits > 0,
	}
}

func (o *Owner) loadDue(now time.Time, load *peerpb.GroupLoad) bool {
	sent := sentLoad{at: now}
	for _, e := range load.Endpoints {
		sent.permits += int(e.Permits)
		if e.Usable {
			sent.usable++
		}
	}
	last, ok := o.loads[load.Group]
	changed := !ok || last.permits != sent.permits || last.usable != sent.usable
	wait := o.cfg.MeanKeepAlive
	if changed {
		wait = o.cfg.meanEvery(len(o.snap.GroupEndpoints(load.Group)))
	}
	if ok && now.Sub(last.at) < wait {
		return false
	}
	o.loads[load.Group] = sent
	return true
}

// GroupMeanUpdate is a mean to send to the owners of a group's endpoints.
type GroupMeanUpdate struct {
	To   []string // host names, sorted
	Mean *peerpb.GroupMean
}

// GroupMeans computes the mean load of the groups whose means this router owns.
// It is safe for concurrent use; one mutex guards all fields, and no other lock
// is taken while it is held.
type GroupMeans struct {
	cfg Config

	mu     lock.Mutex[lock.AdmissionGroupMeans]
	snap   *config.Snapshot
	groups map[string]*group
	names  []string // sorted keys of groups
}

// group holds the reports of the owners of a group's endpoints.
type group struct {
	since   time.Time // first report
	owners  []contribution
	sentAt  time.Time
	sentCap int
}

// contribution is the latest report of one owner.
type contribution struct {
	from string
	at   time.Time
	load *peerpb.GroupLoad
}

// NewGroupMeans returns an empty GroupMeans.
func NewGroupMeans(cfg Config) *GroupMeans {
	return &GroupMeans{cfg: cfg, groups: make(map[string]*group)}
}

// SetSnapshot applies a configuration.
func (m *GroupMeans) SetSnapshot(snap *config.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snap = snap
}

// SetLoad stores the report of the owner from.
func (m *GroupMeans) SetLoad(now time.Time, from string, load *peerpb.GroupLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[load.Group]
	if g == nil {
		g = &group{since: now}
		m.groups[load.Group] = g
		i, _ := slices.BinarySearch(m.names, load.Group)
		m.names = slices.Insert(m.names, i, load.Group)
	}
	c := contribution{from: from, at: now, load: load}
	i, found := slices.BinarySearchFunc(g.owners, from, func(c contribution, name string) int {
		switch {
		case c.from < name:
			return -1
		case c.from > name:
			return 1
		}
		return 0
	})
	if found {
		g.owners[i] = c
		return
	}
	g.owners = slices.Insert(g.owners, i, c)
}

// Advance drops stale contributions and returns the means that are due.
func (m *GroupMeans) Advance(now time.Time) []GroupMeanUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snap == nil {
		return nil
	}
	var out []GroupMeanUpdate
	m.names = slices.DeleteFunc(m.names, func(name string) bool {
		g := m.groups[name]
		g.owners = slices.DeleteFunc(g.owners, func(c contribution) bool {
			return now.Sub(c.at) > m.cfg.MeanStale
		})
		if len(g.owners) == 0 {
			delete(m.groups, name)
			return true
		}
		if mean := m.due(now, name, g); mean != nil {
			out = append(out, GroupMeanUpdate{To: g.ownerNames(), Mean: mean})
		}
		return false
	})
	return out
}

func (g *group) ownerNames() []string {
	names := make([]string, len(g.owners))
	for i := range g.owners {
		names[i] = g.owners[i].from
	}
	return names
}

// due returns the mean of the group if it must be sent: the resulting cap
// changed, or the keep-alive time has passed.
func (m *GroupMeans) due(now time.Time, name string, g *group) *peerpb.GroupMean {
	all := m.snap.GroupEndpoints(name)
	mean, endpoints := g.mean()
	if endpoints < m.usable(all) && now.Sub(g.since) < m.cfg.MeanKeepAlive {
		return nil // a new owner of the mean waits for reports on all endpoints
	}
	capacity := meanCap(withMargin(m.snap.Config.Limits.MeanMultiple), mean)
	wait := m.cfg.MeanKeepAlive
	if capacity != g.sentCap {
		wait = m.cfg.meanEvery(len(all))
	}
	if endpoints == 0 || now.Sub(g.sentAt) < wait {
		return nil
	}
	g.sentAt, g.sentCap = now, capacity
	return &peerpb.GroupMean{Group: name, Mean: float32(mean), Endpoints: uint32(endpoints)}
}

func (m *GroupMeans) usable(all []int) int {
	n := 0
	for _, i := range all {
		if !m.snap.IndexOutOfService(i) {
			n++
		}
	}
	return n
}

// mean returns the permits per usable endpoint. During a handover, the permits of
// several owners at one endpoint are added up.
func (g *group) mean() (float64, int) {
	permits := 0
	usable := make(map[string]bool)
	for i := range g.owners {
		for _, e := range g.owners[i].load.Endpoints {
			permits += int(e.Permits)
			if e.Usable {
				usable[e.Endpoint] = true
			}
		}
	}
	return float64(permits) / float64(max(len(usable), 1)), len(usable)
}
