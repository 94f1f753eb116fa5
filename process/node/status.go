package node

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/iter"

	tlsfiles "github.com/stoatmount/stoatmount/process/credentials"

	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// statusTime bounds the question to one router for its status.
const statusTime = time.Second

// lastSeen keeps the last status of every router. The zero value is usable;
// mu is a leaf.
type lastSeen struct {
	mu      sync.Mutex
	routers map[string]api.Router
}

func (l *lastSeen) put(r api.Router) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routers == nil {
		l.routers = make(map[string]api.Router)
	}
	l.routers[r.Name] = r
}

func (l *lastSeen) get(name string) api.Router {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routers[name]
}

// controller implements operator.Controller.
type controller struct {
	operator.Changes
	*Node
}

// Snapshot implements operator.Controller.
func (c *controller) Snapshot() *config.Snapshot {
	return c.follower.Snapshot()
}

func (n *Node) controller() operator.Controller {
	return &controller{Changes: operator.Changes{Follower: n.follower}, Node: n}
}

// status returns the state of this router.
func (n *Node) status() api.Router {
	now := n.clock.Now()
	s := api.Router{
		Name: n.self.Name, Boot: n.self.Boot, Zone: n.self.Zone, Region: n.self.Region,
		Started: n.started, At: now, Draining: n.drain.leaving(), Health: n.health(),
		ConfigVersion: n.follower.Status().Version, ConfigFresh: n.follower.Fresh(now), LogAgeMs: -1,
		InProgress:            int(n.inProgress.Load()),
		ControlBytesPerSecond: float64(n.figures.controlRate.Load()),
		InvariantViolations:   n.check.Total(),
		MemoryBytes:           memoryBytes(),
		Kinds:                 n.figures.kinds(),
	}
	if confirmed := n.follower.Status().Confirmed; !confirmed.IsZero() {
		s.LogAgeMs = now.Sub(confirmed).Milliseconds()
	}
	if view := n.members.View(); view != nil {
		s.View, s.ViewMembers = uint64(view.ID), len(view.Members)
	}
	s.Endpoints = n.endpointStatus(now)
	for _, e := range s.Endpoints {
		s.Waiting += e.Waiting
	}
	return s
}

func (n *Node) health() string {
	switch {
	case n.drain.leaving():
		return "leaving"
	case n.Ready():
		return "ready"
	default:
		return "not ready"
	}
}

func (n *Node) endpointStatus(now time.Time) []api.Endpoint {
	var endpoints []api.Endpoint
	for _, s := range n.owner.Status(now) {
		if !n.owns(now, member.DutyAdmission, s.Endpoint) {
			continue
		}
		e := api.Endpoint{
			Name: s.Endpoint, Permits: s.Permits, Cap: s.Cap, Waiting: s.Waiting, Cold: s.Cold,
			Usable: n.owner.Usable(now, s.Endpoint), Running: -1,
		}
		if report, ok := n.loads.get(s.Endpoint); ok {
			e.Running, e.Leaving = report.Running, report.Leaving
			e.ReportAgeMs = now.Sub(report.At).Milliseconds() + report.AgeMs
		}
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// Fleet implements operator.Controller.
func (n *Node) Fleet(ctx context.Context) api.Fleet {
	now := n.clock.Now()
	others := n.roster.others()
	routers := iter.Map(others, func(m *member.Member) api.Router { return n.statusOf(ctx, *m) })
	routers = append(routers, n.status())
	sortRouters(routers)
	return api.Fleet{Asked: n.self.Name, At: now, Routers: routers}
}

// statusOf asks a router for its status. One that does not answer is given as
// it was last seen.
func (n *Node) statusOf(ctx context.Context, m member.Member) api.Router {
	var r api.Router
	err := n.askStatus(ctx, m, false, &r)
	if err == nil {
		r.AgeMs = 0
		n.last.put(r)
		return r
	}
	r = n.last.get(m.Name)
	r.AgeMs = -1
	if !r.At.IsZero() {
		r.AgeMs = n.clock.Since(r.At).Milliseconds()
	}
	r.Name, r.Zone, r.Region = m.Name, m.Zone, m.Region
	r.Unreachable = true
	return r
}

func (n *Node) askStatus(ctx context.Context, m member.Member, counters bool, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	reply, err := n.links.Call(ctx, m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_StatusQuery{
		StatusQuery: &peerpb.StatusQuery{Burn: counters},
	}})
	if err != nil {
		return err
	}
	return errors.WithStack(json.Unmarshal(reply.GetStatusReply().GetJson(), into))
}

// statusReply answers another router's question.
func (n *Node) statusReply(m *peerpb.StatusQuery) *peerpb.Envelope {
	var data []byte
	if m.GetBurn() {
		data, _ = json.Marshal(n.burnRecords())
	} else {
		data, _ = json.Marshal(n.status())
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_StatusReply{StatusReply: &peerpb.StatusReply{Json: data}}}
}

// keptRecords is what one router knows of counters.
type keptRecords struct {
	Records []burn.Record `json:"records"`
	Dropped int           `json:"dropped"`
}

func (n *Node) burnRecords() keptRecords {
	now := n.clock.Now()
	records, dropped := n.keeper.Records(now)
	return keptRecords{Records: append(records, n.recorder.Record(now, time.Time{})), Dropped: dropped}
}

// Burn implements operator.Controller.
func (n *Node) Burn(ctx context.Context) api.Burn {
	now := n.clock.Now()
	own := n.burnRecords()
	result := api.Burn{At: now, Dropped: own.Dropped, Live: []api.Process{{Host: n.self.Name, Boot: n.self.Boot}}}
	lists := [][]burn.Record{own.Records}
	for _, m := range n.members.Live(now) {
		if m.Name == n.self.Name {
			continue
		}
		result.Live = append(result.Live, api.Process{Host: m.Name, Boot: m.Boot})
		var kept keptRecords
		if err := n.askStatus(ctx, m, true, &kept); err != nil {
			result.Silent = append(result.Silent, m.Name)
			continue
		}
		lists = append(lists, kept.Records)
		result.Dropped += kept.Dropped
	}
	result.Records = burn.Union(lists...)
	if snapshot := n.follower.Snapshot(); snapshot != nil {
		result.Out = snapshot.Out
		for i := range snapshot.Config.Kinds {
			kind := &snapshot.Config.Kinds[i]
			result.Kinds = append(result.Kinds, api.Objective{Kind: kind.Name, Objective: kind.Objective})
		}
	}
	return result
}

// Loads implements operator.Controller.
func (n *Node) Loads(ctx context.Context) plan.Loads {
	var loads plan.Loads
	kinds := make(map[string]int)
	for _, r := range n.Fleet(ctx).Routers {
		loads.Hosts = append(loads.Hosts, plan.HostLoad{Name: r.Name, Zone: r.Zone, InProgress: r.InProgress})
		for _, e := range r.Endpoints {
			loads.Endpoints = append(loads.Endpoints, plan.EndpointLoad{
				Name: e.Name, InProgress: max(e.Permits, e.Running), Waiting: e.Waiting, Cold: e.Cold, Usable: e.Usable && !e.Leaving,
			})
		}
		for _, k := range r.Kinds {
			kinds[k.Kind] += k.Count
		}
	}
	loads.Kinds = sortedKinds(kinds)
	return loads
}

// serveOperators answers operators until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	server := n.operator.HTTPServer()
	certificate, err := tlsfiles.Listener(n.settings.TLS.OperatorCert, n.settings.TLS.OperatorKey)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = serveMaybeTLS(server, n.listen.operator, certificate != nil, n.settings.TLS.OperatorCert, n.settings.TLS.OperatorKey)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func serveMaybeTLS(server *http.Server, listener net.Listener, secure bool, cert, key string) error {
	if secure {
		return server.ServeTLS(listener, cert, key)
	}
	return server.Serve(listener)
}

func sortRouters(routers []api.Router) {
	slices.SortFunc(routers, func(a, b api.Router) int { return strings.Compare(a.Name, b.Name) })
}

func sortedKinds(counts map[string]int) []plan.KindLoad {
	loads := make([]plan.KindLoad, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		loads = append(loads, plan.KindLoad{Kind: kind, Count: counts[kind]})
	}
	return loads
}
