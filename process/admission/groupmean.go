package admission

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
)

// meanFanIn is the group size up to which owners send loads as often as
// Config.MeanMinInterval allows. Owners of larger groups send them less often, to
// bound the traffic of the router that computes the mean.
const meanFanIn = 8

// meanMinInterval is MeanMinInterval for a group of n endpoints.
func (c *Config) meanMinInterval(n int) time.Duration {
	return c.MeanMinInterval * time.Duration(max(1, (n+meanFanIn-1)/meanFanIn))
}

// sentLoad is the load last sent for a group.
type sentLoad struct {
	at      time.Time
	permits int
	usable  int
}

// GroupLoads returns the loads to send to the owners of the group means, because they
// changed or the keep-alive time has passed, and records them as sent.
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
		configured := o.snap.Endpoint(name)
		e := o.endpoints[name]
		if configured == nil || (e.counted(bindings) == 0 && len(e.permits) == 0) {
			continue
		}
		group := configured.Group()
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
		if o.takeIfDue(now, loads[group]) {
			due = append(due, loads[group])
		}
	}
	return due
}

// endpointLoad returns the load of e. If no permit may be granted there, Usable is
// false, so that the endpoint does not lower the mean.
func (o *Owner) endpointLoad(now time.Time, e *endpoint, bindings *member.Bindings) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{
		Endpoint: e.name,
		Permits:  uint32(len(e.permits)),
		Waiting:  uint32(len(e.waiting)),
		Usable:   o.updateLimit(now, e, bindings).permits > 0,
	}
}

// takeIfDue reports whether load must be sent now, and if so records it as sent.
func (o *Owner) takeIfDue(now time.Time, load *peerpb.GroupLoad) bool {
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
		wait = o.cfg.meanMinInterval(len(o.snap.GroupEndpoints(load.Group)))
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

// group holds the loads sent by the owners of a group's endpoints.
type group struct {
	since         time.Time // first load
	contributions []contribution
	sentAt        time.Time
	sentCap       int
}

// contribution is the latest load sent by one owner.
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

// SetLoad stores the load sent by owner.
func (m *GroupMeans) SetLoad(now time.Time, owner string, load *peerpb.GroupLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[load.Group]
	if g == nil {
		g = &group{since: now}
		m.groups[load.Group] = g
		i, _ := slices.BinarySearch(m.names, load.Group)
		m.names = slices.Insert(m.names, i, load.Group)
	}
	c := contribution{from: owner, at: now, load: load}
	i, found := slices.BinarySearchFunc(g.contributions, owner, func(c contribution, name string) int {
		switch {
		case c.from < name:
			return -1
		case c.from > name:
			return 1
		}
		return 0
	})
	if found {
		g.contributions[i] = c
		return
	}
	g.contributions = slices.Insert(g.contributions, i, c)
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
		g.contributions = slices.DeleteFunc(g.contributions, func(c contribution) bool {
			return now.Sub(c.at) > m.cfg.MeanStale
		})
		if len(g.contributions) == 0 {
			delete(m.groups, name)
			return true
		}
		if mean := m.takeDueMean(now, name, g); mean != nil {
			out = append(out, GroupMeanUpdate{To: g.ownerNames(), Mean: mean})
		}
		return false
	})
	return out
}

func (g *group) ownerNames() []string {
	names := make([]string, len(g.contributions))
	for i := range g.contributions {
		names[i] = g.contributions[i].from
	}
	return names
}

// takeDueMean returns the mean of the group, and records it as sent, if the resulting
// cap changed or the keep-alive time has passed.
func (m *GroupMeans) takeDueMean(now time.Time, name string, g *group) *peerpb.GroupMean {
	all := m.snap.GroupEndpoints(name)
	mean, endpoints := g.mean()
	if endpoints < m.countInService(all) && now.Sub(g.since) < m.cfg.MeanKeepAlive {
		return nil // a new owner of the mean waits for the loads of all endpoints
	}
	capacity := meanCap(withMargin(m.snap.Config.Limits.MeanMultiple), mean)
	wait := m.cfg.MeanKeepAlive
	if capacity != g.sentCap {
		wait = m.cfg.meanMinInterval(len(all))
	}
	if endpoints == 0 || now.Sub(g.sentAt) < wait {
		return nil
	}
	g.sentAt, g.sentCap = now, capacity
	return &peerpb.GroupMean{Group: name, Mean: float32(mean), Endpoints: uint32(endpoints)}
}

func (m *GroupMeans) countInService(all []int) int {
	n := 0
	for _, i := range all {
		if !m.snap.IndexOutOfService(i) {
			n++
		}
	}
	return n
}

// mean returns the permits per usable endpoint and the number of these endpoints.
// During a handover, the permits of several owners at one endpoint are added up.
func (g *group) mean() (float64, int) {
	permits := 0
	usable := make(map[string]bool)
	for i := range g.contributions {
		for _, e := range g.contributions[i].load.Endpoints {
			permits += int(e.Permits)
			if e.Usable {
				usable[e.Endpoint] = true
			}
		}
	}
	return float64(permits) / float64(max(len(usable), 1)), len(usable)
}
