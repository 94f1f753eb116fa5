package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/forward"
	"github.com/stoatmount/stoatmount/connection/frontend"
	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/process/feed"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/upstream"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/retry"
	"github.com/stoatmount/stoatmount/version/routing"
)

const (
	// unsentToEndpoint closes a connection to an endpoint that acknowledges nothing.
	unsentToEndpoint = 2 * time.Second
	// removalGrace is how long entries of endpoints are kept that lapsed while the
	// store was away; the platform promises them back within two seconds.
	removalGrace = 2200 * time.Millisecond
	// housekeeping is the pause between sweeps of tables and idle connections.
	housekeeping = time.Second
	// forgetWithin is added to the contact time for the longest time until a dead
	// router is not named, a second under what the platform allows.
	forgetWithin = 2 * time.Second
	// memoryShare of the host's limit is the Go runtime's soft limit.
	memoryShare = 0.7
	// callersShare of the descriptors are for callers' connections; the others are
	// for endpoints, the store and files.
	callersShare = 0.6
)

// The platform bounds the load of an endpoint by LoadCap times the mean and
// three requests more. Counts of other routers are up to a beat old, so a part
// of that is kept free.
const (
	capShare = 0.85
	capExtra = 2
)

// loadBound is how far an engine's running requests may lie above the mean.
var loadBound = balance.Bound{Factor: 1.7, Extra: 2.2}

// staleBound replaces it in a fleet whose beats are further apart than
// staleBeats, that is of more than 45 routers.
var staleBound = balance.Bound{Factor: 1.4, Extra: 1, Stale: true}

const staleBeats = 300 * time.Millisecond

// Router is the process of an entry host.
type Router struct {
	s       Settings
	bounds  atomic.Pointer[Bounds] // in force; those of s are the first
	log     logr.Logger
	adapter Adapter

	table     atomic.Pointer[routing.Table]
	endpoints *upstream.Table
	peers     *peers.Table
	pool      *http1.Pool
	repeats   *retry.Window
	front     *frontend.Server
	exchange  *peers.Exchange
	followers [followed]*feed.Follower // by topic
	boot      int64

	endpointsRead   atomic.Bool // the registry was read at least once
	placementsAsked atomic.Bool // the placements were read, or could not be
	leaving         atomic.Bool
	streamsUntil    atomic.Int64 // Unix time in ns from which new streams are refused; 0 without one

	zonesMu sync.Mutex // guards zones; a leaf but for upstream.Table.mu
	zones   map[string]bool

	listeners listeners
	group     conc.WaitGroup
	stop      context.CancelFunc
	closing   sync.Once
}

// New returns a router that is not started.
func New(s Settings, adapter Adapter, observer forward.Observer, log logr.Logger) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	r := &Router{s: s, log: log, adapter: adapter, boot: time.Now().UnixNano(), zones: make(map[string]bool)}
	r.endpoints = upstream.New(upstream.Config{Zone: s.Zone, RemovalGrace: removalGrace, Bound: loadBound,
		StaleBound: staleBound, StaleInterval: staleBeats, CapExtra: capExtra}, rand.Float64)
	r.peers = peers.New(s.Name, peers.DeadAfter(1))
	r.pool = http1.NewPool(unsentToEndpoint)
	r.repeats = retry.NewWindow(s.RetryWindow)
	r.setBounds(s.Bounds)
	handler := &forward.Server{Codec: adapter.Codec(), Table: r.table.Load, Endpoints: r.endpoints, Pool: r.pool,
		RetryBudget: sharedRepeats{r.repeats, r.members}, Observer: observer, RouterCount: r.members,
		RefusesStreams: r.refusesStreams}
	r.front = &frontend.Server{Handler: handler, Limits: r.limits, Log: log,
		MaxConnections: int(callersShare * float64(s.Descriptors))}
	return r, nil
}

// sharedRepeats divides the slack of the repeats among the routers.
type sharedRepeats struct {
	window  *retry.Window
	members func() int
}

func (s sharedRepeats) CountRequest(now time.Time, service string) { s.window.Request(now, service) }

func (s sharedRepeats) Allow(now time.Time, service string) bool {
	return s.window.Take(now, service, s.members())
}

func (r *Router) members() int { return r.peers.Count(time.Now()) }

func (r *Router) limits() frontend.Limits {
	t := r.table.Load()
	if t == nil {
		return frontend.Limits{}
	}
	return frontend.Limits{HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes,
		HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// Ready reports whether the router takes requests.
func (r *Router) Ready() bool {
	return !r.leaving.Load() && r.table.Load() != nil && r.endpointsRead.Load() && r.placementsAsked.Load()
}

// Version returns the version of the configuration in force, or 0.
func (r *Router) Version() int64 {
	if t := r.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// listeners are the sockets of a process.
type listeners struct {
	front net.Listener
	http  []*http.Server
}

// Start opens the sockets and starts to follow the store.
func (r *Router) Start() error {
	l, err := net.Listen("tcp", r.s.Front)
	if err != nil {
		return errors.Wrap(err, "front")
	}
	r.listeners.front = l
	if err := r.serveHTTP("ready", r.s.Ready, r.adapter.ReadyHandler(r.Ready)); err != nil {
		return err
	}
	if err := r.serveHTTP("directory", r.s.Directory, r.adapter.DirectoryHandler(r.addresses)); err != nil {
		return err
	}
	if r.s.Metrics != "" {
		if err := r.serveHTTP("metrics", r.s.Metrics, http.DefaultServeMux); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.prepareFollowers()
	if err := r.startPeers(ctx); err != nil {
		cancel()
		return err
	}
	r.follow(ctx)
	r.group.Go(func() { r.keepHouse(ctx) })
	r.group.Go(func() {
		r.awaitReady(ctx)
		if err := r.front.Serve(l); err != nil {
			r.log.Error(err, "front listener ended")
		}
	})
	r.log.Info("started", "zone", r.s.Zone, "front", r.s.Front, "boot", r.boot)
	return nil
}

const (
	// startWait is how long callers that connect to a starting process wait for
	// its first reads of the store, before they are refused.
	startWait = 400 * time.Millisecond
	startPoll = 2 * time.Millisecond
)

// awaitReady blocks until the router is ready, for startWait at most.
func (r *Router) awaitReady(ctx context.Context) {
	for last := time.Now().Add(startWait); !r.Ready() && ctx.Err() == nil && time.Now().Before(last); {
		time.Sleep(startPoll)
	}
}

const httpHeaderTimeout = 3 * time.Second

func (r *Router) serveHTTP(what, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, what)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}
	r.listeners.http = append(r.listeners.http, srv)
	r.group.Go(func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			r.log.Error(err, "listener ended", "serves", what)
		}
	})
	return nil
}

func (r *Router) startPeers(ctx context.Context) error {
	if r.s.Peer == "" {
		r.log.Info("no address for beats; routers are not told of one another")
		return nil
	}
	conn, err := net.ListenPacket("udp", r.s.Peer)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	r.exchange = &peers.Exchange{Table: r.peers, Conn: conn, Log: r.log, Self: r.beat, OnHeartbeat: r.hear, OnRelay: r.takeRelay,
		Wake: make(chan struct{}, 1)}
	r.group.Go(func() { r.exchange.Run(ctx) })
	return nil
}

func (r *Router) beat() peers.Heartbeat {
	b := peers.Heartbeat{Name: r.s.Name, Incarnation: r.boot, Front: r.s.Front, Zone: r.s.Zone, Ready: r.Ready(), Draining: r.leaving.Load(),
		StoreReachable: true, Running: r.endpoints.Running(time.Now())}
	for _, f := range r.followers {
		b.StoreReachable = b.StoreReachable && f.Reachable()
		b.Offsets = append(b.Offsets, f.Next())
	}
	for key, id := range r.endpoints.TakeNewPlacements() {
		b.Placements = append(b.Placements, peers.Placement{Key: key, Endpoint: id})
	}
	return b
}

// hear takes what one router told.
func (r *Router) hear(now time.Time, b peers.Heartbeat) {
	for i, next := range b.Offsets[:min(len(b.Offsets), len(r.followers))] {
		r.followers[i].ObserveOffset(now, next)
	}
	for _, p := range b.Placements {
		r.endpoints.RecordPlacement(now, p.Key, p.Endpoint)
	}
	r.heard(now)
}

// heard passes on what the other routers told.
func (r *Router) heard(now time.Time) {
	members := r.peers.Count(now)
	r.peers.SetDeadAfter(r.deadAfter(members))
	r.endpoints.SetPeers(r.s.Name, r.peers.Names(now), len(r.peers.Ready(now)), r.peers.Running(now), peers.Interval(members))
}

// deadAfter returns the time after which a silent router among n is not named
// to callers. The platform allows the contact time and three seconds more.
func (r *Router) deadAfter(n int) time.Duration {
	d := peers.DeadAfter(n)
	if contact := r.bounds.Load().Contact; contact > 0 {
		d = min(d, contact+forgetWithin)
	}
	return d
}

// keepHouse drops what has become old.
func (r *Router) keepHouse(ctx context.Context) {
	tick := time.NewTicker(housekeeping)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			r.pool.Expire(now)
			r.endpoints.Sweep(now)
			r.heard(now)
		}
	}
}
