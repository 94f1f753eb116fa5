package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of a route.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run again
	Stream                    // answered by a series of events; runs once unless resumable
)

// Route is what one path prefix of a host leads to.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // longest time until the final answer; 0 is no limit
	Objective    time.Duration // latency objective, for streams until the first event
	GapObjective time.Duration // longest pause between events that is still on time
	Priority     int           // 0 is the most urgent
	Splits       []Split
	MaxAttempts  int  // endpoints on which one request may run
	Public       bool // needs no API key
	Sticky       bool // requests carry the parts of their prompt
	Resumable    bool // a stream may go on at another endpoint
}

// Split is a service's share of the requests of a route.
type Split struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Services returns the services of the route in the order in which they are
// tried. point selects the first one in proportion to the weights.
func (r *Route) Services(point uint64) []string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	names := make([]string, 0, len(r.Splits))
	first := -1
	if total > 0 {
		left := int(point % uint64(total))
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

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // that one endpoint accepts from all routers together; 0 is unknown
	ColdStart      time.Duration // how long an endpoint stays cold after its start
	ColdRate       float64       // requests a second that a cold endpoint bears; 0 is no limit
	Engine         *Engine       // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int
	CacheTokens     int // prompt tokens that an engine's memory holds
	CacheTokenBytes int // bytes of one token when its cache entry is copied
	CacheMovable    bool
}

// Workspace is a customer with its own API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // replaces the priority of routes; nil leaves it
}

// Limits bound what a caller may send. Zero means the default of the listener.
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
	// priorities of each service's routes, the most urgent first
	priorities map[string][]int
	Routes     int
}

// New returns the snapshot of a version. The arguments must not change later.
func New(version int64, routes []*Route, services []*Service, workspaces []*Workspace, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, RequiresKey: len(workspaces) > 0, Routes: len(routes),
		services: make(map[string]*Service, len(services)),
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Workspace),

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

// Route returns the route of a request with the longest prefix that begins
// path. host may carry a port; path may carry a query.
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

// Rank returns how many priorities of the service's routes are more urgent than
// priority.
func (t *Table) Rank(service string, priority int) int {
	rank, _ := slices.BinarySearch(t.priorities[service], priority)
	return rank
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// EachService calls f for each service, in no order.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Workspace returns the holder of an API key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}
