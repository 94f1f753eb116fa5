package operator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

const (
	// askTimeout bounds the wait for one router.
	askTimeout = 2 * time.Second
	// askAtOnce is the number of routers asked at the same time.
	askAtOnce = 32
	// lastSeenFor is how long a router that is gone is still shown.
	lastSeenFor = 10 * time.Minute
)

// Peers is what Gather needs of the other routers.
type Peers interface {
	// Members returns the live routers, this one included.
	Members() []member.Member
	// Status sends a StatusQuery and returns the bytes of the reply.
	Status(ctx context.Context, to member.Member, counters bool) ([]byte, error)
}

// CollectorOptions say where a Gather has its figures from.
type CollectorOptions struct {
	Clock       clockwork.Clock
	Peers       Peers
	LocalStatus func(now time.Time) api.Router // state of this router
	Recorder    *burn.Recorder
	Keeper      *burn.ReplicaStore
	Snapshot    func() *config.Snapshot
}

// Collector implements the part of Controller that is about the whole fleet. It
// is safe for concurrent use.
type Collector struct {
	CollectorOptions

	mu   sync.Mutex
	seen map[string]seenRouter // by name
}

// seenRouter is the last word of a router.
type seenRouter struct {
	router api.Router
	at     time.Time // when it was heard, by this router's clock
}

// NewCollector returns a Gather.
func NewCollector(options CollectorOptions) *Collector {
	return &Collector{CollectorOptions: options, seen: make(map[string]seenRouter)}
}

// StatusReply returns the reply to a StatusQuery of another router.
func (g *Collector) StatusReply(wantCounters bool) ([]byte, error) {
	now := g.Clock.Now()
	if wantCounters {
		data, err := proto.Marshal(g.ownCounters(now).page())
		return data, errors.Wrap(err, "encode counters")
	}
	data, err := json.Marshal(g.LocalStatus(now))
	return data, errors.Wrap(err, "encode status")
}

// Fleet implements Controller.
func (g *Collector) Fleet(ctx context.Context) api.Fleet {
	self := g.LocalStatus(g.Clock.Now())
	others := slices.DeleteFunc(slices.Clone(g.Peers.Members()), func(m member.Member) bool { return m.Name == self.Name })
	routers := make([]api.Router, len(others))
	g.each(ctx, others, func(ctx context.Context, i int) {
		routers[i] = g.askStatus(ctx, others[i])
	})
	routers = append(routers, self)
	routers = append(routers, g.gone(others, self.Name)...)
	slices.SortFunc(routers, func(a, b api.Router) int { return strings.Compare(a.Name, b.Name) })
	return api.Fleet{AnsweredBy: self.Name, At: g.Clock.Now(), Routers: routers}
}

// each runs ask for each of members, many at a time.
func (g *Collector) each(ctx context.Context, members []member.Member, ask func(ctx context.Context, i int)) {
	workers := pool.New().WithMaxGoroutines(askAtOnce)
	for i := range members {
		workers.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			ask(bounded, i)
		})
	}
	workers.Wait()
}

// askStatus returns the state of a router, or what was last seen of it.
func (g *Collector) askStatus(ctx context.Context, to member.Member) api.Router {
	asked := g.Clock.Now()
	data, err := g.Peers.Status(ctx, to, false)
	router := api.Router{Name: to.Name, Incarnation: to.Incarnation, Zone: to.Zone, Region: to.Region}
	if err == nil {
		err = json.Unmarshal(data, &router)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && router.Name == to.Name {
		g.seen[to.Name] = seenRouter{router: router, at: asked}
		return router
	}
	last, ok := g.seen[to.Name]
	if !ok {
		return api.Router{Name: to.Name, Incarnation: to.Incarnation, Zone: to.Zone, Region: to.Region, Unreachable: true}
	}
	return last.unreachable(g.Clock.Now())
}

func (s seenRouter) unreachable(now time.Time) api.Router {
	router := s.router
	router.Unreachable = true
	router.AgeMs = now.Sub(s.at).Milliseconds()
	return router
}

// gone returns the last word of routers that are no longer live.
func (g *Collector) gone(live []member.Member, self string) []api.Router {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var gone []api.Router
	for name, last := range g.seen {
		isLive := name == self || slices.ContainsFunc(live, func(m member.Member) bool { return m.Name == name })
		switch {
		case isLive:
		case now.Sub(last.at) > lastSeenFor:
			delete(g.seen, name)
		default:
			gone = append(gone, last.unreachable(now))
		}
	}
	return gone
}

// Loads implements Controller.
func (g *Collector) Loads(ctx context.Context) plan.Loads {
	return LoadsOf(g.Fleet(ctx))
}

// LoadsOf returns the load of the fleet. Permits of an endpoint that two
// routers grant while it changes hands add up.
func LoadsOf(fleet api.Fleet) plan.Loads {
	var loads plan.Loads
	endpoints := make(map[string]int)
	kinds := make(map[string]int)
	for i := range fleet.Routers {
		router := &fleet.Routers[i]
		if router.Unreachable {
			continue
		}
		loads.Hosts = append(loads.Hosts, plan.HostLoad{Name: router.Name, Zone: router.Zone, InProgress: router.InProgress})
		for _, e := range router.Endpoints {
			at, known := endpoints[e.Name]
			if !known {
				at = len(loads.Endpoints)
				endpoints[e.Name] = at
				loads.Endpoints = append(loads.Endpoints, plan.EndpointLoad{Name: e.Name})
			}
			load := &loads.Endpoints[at]
			load.InProgress += e.Permits
			load.Waiting += e.Waiting
			load.Cold = load.Cold || e.Cold
			load.Usable = load.Usable || e.Usable && !e.Draining
		}
		for _, k := range router.Kinds {
			at, known := kinds[k.Kind]
			if !known {
				at = len(loads.Kinds)
				kinds[k.Kind] = at
				loads.Kinds = append(loads.Kinds, plan.KindLoad{Kind: k.Kind})
			}
			loads.Kinds[at].Count += k.Count
		}
	}
	return loads
}
