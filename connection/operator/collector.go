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
	// queryTimeout bounds the wait for one router.
	queryTimeout = 2 * time.Second
	// queryConcurrency is the number of routers queried at the same time.
	queryConcurrency = 32
	// lastSeenRetention is how long a router that is no longer live is still shown.
	lastSeenRetention = 10 * time.Minute
)

// Peers is what Collector needs from the other routers.
type Peers interface {
	// Members returns the live routers, including this one.
	Members() []member.Member
	// Status sends a StatusQuery and returns the bytes of the reply.
	Status(ctx context.Context, to member.Member, counters bool) ([]byte, error)
}

// CollectorOptions are the sources of a Collector.
type CollectorOptions struct {
	Clock       clockwork.Clock
	Peers       Peers
	LocalStatus func(now time.Time) api.Router // state of this router
	Recorder    *burn.Recorder
	Replicas    *burn.ReplicaStore
	Snapshot    func() *config.Snapshot
}

// Collector implements the methods of Controller for the whole fleet. It is safe
// for concurrent use.
type Collector struct {
	CollectorOptions

	mu       sync.Mutex
	lastSeen map[string]lastSeenStatus // by name
}

// lastSeenStatus is the last status received from a router.
type lastSeenStatus struct {
	router api.Router
	at     time.Time // when it was queried, by this router's clock
}

// NewCollector returns a Collector.
func NewCollector(options CollectorOptions) *Collector {
	return &Collector{CollectorOptions: options, lastSeen: make(map[string]lastSeenStatus)}
}

// StatusReply returns the reply to a StatusQuery of another router.
func (c *Collector) StatusReply(wantCounters bool) ([]byte, error) {
	now := c.Clock.Now()
	if wantCounters {
		data, err := proto.Marshal(c.ownCounters(now).toWire())
		return data, errors.Wrap(err, "encode counters")
	}
	data, err := json.Marshal(c.LocalStatus(now))
	return data, errors.Wrap(err, "encode status")
}

// Fleet implements Controller.
func (c *Collector) Fleet(ctx context.Context) api.Fleet {
	self := c.LocalStatus(c.Clock.Now())
	others := slices.DeleteFunc(slices.Clone(c.Peers.Members()), func(m member.Member) bool { return m.Name == self.Name })
	routers := make([]api.Router, len(others))
	c.forEach(ctx, others, func(ctx context.Context, i int) {
		routers[i] = c.queryStatus(ctx, others[i])
	})
	routers = append(routers, self)
	routers = append(routers, c.goneRouters(others, self.Name)...)
	slices.SortFunc(routers, func(a, b api.Router) int { return strings.Compare(a.Name, b.Name) })
	return api.Fleet{RespondedBy: self.Name, At: c.Clock.Now(), Routers: routers}
}

// forEach runs query for each of members, with bounded concurrency.
func (c *Collector) forEach(ctx context.Context, members []member.Member, query func(ctx context.Context, i int)) {
	workers := pool.New().WithMaxGoroutines(queryConcurrency)
	for i := range members {
		workers.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			query(bounded, i)
		})
	}
	workers.Wait()
}

// queryStatus returns the status of a router, or the last one seen.
func (c *Collector) queryStatus(ctx context.Context, to member.Member) api.Router {
	queried := c.Clock.Now()
	data, err := c.Peers.Status(ctx, to, false)
	router := api.Router{Name: to.Name, Incarnation: to.Incarnation, Zone: to.Zone, Region: to.Region}
	if err == nil {
		err = json.Unmarshal(data, &router)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && router.Name == to.Name {
		c.lastSeen[to.Name] = lastSeenStatus{router: router, at: queried}
		return router
	}
	last, ok := c.lastSeen[to.Name]
	if !ok {
		return api.Router{Name: to.Name, Incarnation: to.Incarnation, Zone: to.Zone, Region: to.Region, Unreachable: true}
	}
	return last.unreachable(c.Clock.Now())
}

func (s lastSeenStatus) unreachable(now time.Time) api.Router {
	router := s.router
	router.Unreachable = true
	router.AgeMs = now.Sub(s.at).Milliseconds()
	return router
}

// goneRouters returns the last status of routers that are no longer live.
func (c *Collector) goneRouters(live []member.Member, self string) []api.Router {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var gone []api.Router
	for name, last := range c.lastSeen {
		isLive := name == self || slices.ContainsFunc(live, func(m member.Member) bool { return m.Name == name })
		switch {
		case isLive:
		case now.Sub(last.at) > lastSeenRetention:
			delete(c.lastSeen, name)
		default:
			gone = append(gone, last.unreachable(now))
		}
	}
	return gone
}

// Loads implements Controller.
func (c *Collector) Loads(ctx context.Context) plan.Loads {
	return LoadsOf(c.Fleet(ctx))
}

// LoadsOf returns the load of the fleet. While the admission owner of an endpoint
// changes, two routers may grant permits for it; their counts are added up.
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
