package admission

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
)

// meanFanIn is the number of endpoints of a group up to which its owners
// report as often as Config.MeanEvery allows. Owners of larger groups report
// less often, so that the holder's traffic stays bounded.
const meanFanIn = 8

// meanEvery is the least time between two reports for a group of n endpoints.
func (c *Config) meanEvery(n int) time.Duration {
	return c.MeanEvery * time.Duration(max(1, (n+meanFanIn-1)/meanFanIn))
}

// sentLoad is what was last reported for a group.
type sentLoad struct {
	at      time.Time
	permits int
	usable  int
}

// GroupLoads returns the loads that are to be sent to the holders of the
// groups' means, because they changed or because they were last sent long ago.
func (o *Owner) GroupLoads(now time.Time) []*peerpb.GroupLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snap == nil {
		return nil
	}
	shares := o.members.Bindings(now)
	var groups []string
	loads := make(map[string]*peerpb.GroupLoad)
	for _, name := range o.names {
		settings := o.snap.Endpoint(name)
		e := o.endpoints[name]
		if settings == nil || (e.counted(shares) == 0 && len(e.permits) == 0) {
			continue
		}
		group := settings.Group()
		load := loads[group]
		if load == nil {
			load = &peerpb.GroupLoad{Group: group}
			loads[group] = load
			groups = append(groups, group)
		}
		load.Endpoints = append(load.Endpoints, o.endpointLoad(now, e, shares))
	}
	var due []*peerpb.GroupLoad
	for _, group := range groups {
		if o.loadDue(now, loads[group]) {
			due = append(due, loads[group])
		}
	}
	return due
}

// endpointLoad tells of e. An endpoint at which nothing may be granted yet does
// not lower the mean.
func (o *Owner) endpointLoad(now time.Time, e *endpoint, shares *member.Bindings) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{
		Endpoint: e.name,
		Permits:  uint32(len(e.permits)),
		Waiting:  uint32(len(e.waiting)),
		Usable:   o.limit(now, e, shares).permits > 0,
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

// GroupMeanUpdate is a mean to be sent to the owners of a group's endpoints.
type GroupMeanUpdate struct {
	To   []string // host names, sorted
	Mean *peerpb.GroupMean
}

// GroupMeans computes the mean load of the groups that this router holds. It is
// safe for concurrent use; one mutex guards all fields, and no other lock is
// taken while it is held.
type GroupMeans struct {
	cfg Config

	mu     lock.Mutex[lock.AdmissionGroupMeans]
	snap   *config.Snapshot
	groups map[string]*group
	names  []string // sorted keys of groups
}

// group is what the owners of a group's endpoints have reported.
type group struct {
	since   time.Time // first report
	owners  []contribution
	sentAt  time.Time
	sentCap int
}

// contribution is the newest report of one owner.
type contribution struct {
	from string
	at   time.Time
	load *peerpb.GroupLoad
}

// NewGroupMeans returns an empty table.
func NewGroupMeans(cfg Config) *GroupMeans {
	return &GroupMeans{cfg: cfg, groups: make(map[string]*group)}
}

// SetSnapshot puts a configuration in force.
func (m *GroupMeans) SetSnapshot(snap *config.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snap = snap
}

// SetLoad takes in what the owner from reports.
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

// Advance drops stale contributions and returns the means to be sent.
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
			out = append(out, GroupMeanUpdate{To: g.names(), Mean: mean})
		}
		return false
	})
	return out
}

func (g *group) names() []string {
	names := make([]string, len(g.owners))
	for i := range g.owners {
		names[i] = g.owners[i].from
	}
	return names
}

// due returns the mean of the group if it has to be sent: the cap that follows
// from it changed, or it was last sent long ago.
func (m *GroupMeans) due(now time.Time, name string, g *group) *peerpb.GroupMean {
	all := m.snap.GroupEndpoints(name)
	mean, endpoints := g.mean()
	if endpoints < m.usable(all) && now.Sub(g.since) < m.cfg.MeanKeepAlive {
		return nil // a new holder hears of all endpoints first
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

// mean returns the permits per usable endpoint. Permits that several owners
// hold at one endpoint, in a handover, add up.
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
