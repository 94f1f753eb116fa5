package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route: whether a request that may have run may be retried.
type Kind uint8

// The kinds of a route.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may be retried
	Stream                    // the response is a stream of events; may be retried only if resumable
)

// Route configures the requests for one path prefix of a host.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins with a slash; compared as a string, so that /x matches /xy too
	Kind         Kind
	Timeout      time.Duration // until the end of the response; 0 sets none
	Objective    time.Duration // latency objective, for streams until the first event
	GapObjective time.Duration // objective of the time between two events
	Priority     int           // 0 is the most urgent
	Splits       []Split
	MaxAttempts  int  // endpoints on which one request may run
	Public       bool // needs no API key
	Sticky       bool // requests carry the parts of their prompt, for prefix caching
	Resumable    bool // a stream may be resumed at another endpoint
}

// Split is the share of a service in the requests of a route.
type Split struct {
	Service string
	Weight  int
}

// Retryable reports whether a request on the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Services returns the services of the route in the order of attempts. random
// selects the first one in proportion to the weights.
func (r *Route) Services(random uint64) []string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	names := make([]string, 0, len(r.Splits))
	first := -1
	if total > 0 {
		left := int(random % uint64(total))
		for i, s := range r.Splits {
			if left < s.Weight {
				first = i
				names = append(names, s.Service)
				break
			}
			left -= s.Weight
		}
	}
	for i, s := range r.Splits {
		if i != first && s.Weight > 0 {
			names = append(names, s.Service)
		}
	}
	return names
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // accepted by one endpoint from all routers together; 0 is unknown
	ColdStart      time.Duration // how long an endpoint stays cold after its start
	ColdRate       float64       // requests per second that a cold endpoint can serve; 0 is no limit
	Engine         *Engine       // nil for a plain service
}

// Engine describes the endpoints of a service that serve a model.
type Engine struct {
	Slots           int // requests that one endpoint can serve at once
	CacheTokens     int // prompt tokens that the cache of an endpoint holds
	CacheTokenBytes int // bytes per token when cache entries are copied
	CacheMovable    bool
}

// Workspace is a customer with its own API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // overrides the priority of routes; nil keeps it
}

// Limits bounds the requests of callers. Zero selects the default of package frontend.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version     int64
	Limits      Limits
	RequiresKey bool // requests need an API key, except on public routes
	services    map[string]*Service
	hosts       map[string][]*Route // longest prefix first
	keys        map[string]*Workspace
	priorities  map[string][]int // distinct priorities of the routes of each service, most urgent first
	RouteCount  int
}

// New returns the Table of a version. The arguments must not be modified later.
func New(version int64, routes []*Route, services []*Service, workspaces []*Workspace, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, RequiresKey: len(workspaces) > 0, RouteCount: len(routes),
		services:   make(map[string]*Service, len(services)),
		hosts:      make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
		priorities: make(map[string][]int),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, s := range r.Splits {
			list := t.priorities[s.Service]
			if at, found := slices.BinarySearch(list, r.Priority); !found {
				t.priorities[s.Service] = slices.Insert(list, at, r.Priority)
			}
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	return t
}

// Route returns the route of host with the longest prefix of path. host may
// include a port, and path a query.
func (t *Table) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// LongestStream returns the longest timeout of the routes of streams.
func (t *Table) LongestStream() time.Duration {
	longest := time.Duration(0)
	for _, list := range t.hosts {
		for _, r := range list {
			if r.Kind == Stream {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// Rank returns the number of distinct priorities of the service's routes that are
// more urgent than priority.
func (t *Table) Rank(service string, priority int) int {
	rank, _ := slices.BinarySearch(t.priorities[service], priority)
	return rank
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// EachService calls f for each service, in no particular order.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Workspace returns the workspace with the given API key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}
