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
	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/process/upstream"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/retry"
	"github.com/stoatmount/stoatmount/version/routing"
)

const (
	// endpointAckTimeout is the time after which a connection to an endpoint that
	// acknowledges nothing is closed.
	endpointAckTimeout = 2 * time.Second
	// removalGrace is how long endpoints are kept whose entries expired while the store
	// was unreachable; the platform guarantees their return within two seconds.
	removalGrace = 2200 * time.Millisecond
	// housekeepingInterval is the pause between sweeps of tables and idle connections.
	housekeepingInterval = time.Second
	// deadAfterMargin: a dead router is named to callers for at most the contact time
	// plus this, one second less than the platform allows.
	deadAfterMargin = 2 * time.Second
	// memoryShare is the fraction of the host's memory limit that is the Go runtime's soft limit.
	memoryShare = 0.7
	// callerDescriptorShare is the fraction of the descriptors for callers' connections;
	// the others are for endpoints, the store and files.
	callerDescriptorShare = 0.6
	// relayDescriptorShare is the same for the connections of other routers.
	relayDescriptorShare = 0.15
	// maxStrangers bounds the connections for relayed requests from hosts without a known router,
	// and maxStrangerBytes the bodies of these requests that are in memory.
	maxStrangers     = 16
	maxStrangerBytes = 8 << 20
)

// The platform limits the load of an endpoint to LoadCap times the mean plus three
// requests. Counts of other routers are up to a heartbeat interval old, so part of
// that is kept free.
const (
	capShare = 0.85
	capExtra = 2
)

// loadBound bounds the running requests up to which the prompt key decides the choice.
var loadBound = balance.Bound{Factor: 1.7, Extra: 2.2}

// staleBound replaces loadBound and the cap where counts are much older than requests last. Room is
// left for what the counts cannot show.
var staleBound = balance.Bound{Factor: 1.4, Extra: 1}

// Router is the process of an entry host.
type Router struct {
	s       Settings
	bounds  atomic.Pointer[Bounds] // in force; initially those of s
	log     logr.Logger
	adapter Adapter

	config      atomic.Pointer[routing.Table]
	catchUp     catchUp
	endpoints   *upstream.Table
	peers       *peers.Table
	pool        *http1.Pool // to endpoints
	relayPool   *http1.Pool // to other routers
	retryBudget *retry.SharedBudget
	quarantine  *quarantine.Table
	origins     *origins.Table
	streams     *streamOrigins
	links       *endpointLinks
	rollouts    *rollouts
	permits     *permitTable
	observer    forward.Observer
	requests    *forward.Server
	relayed     *frontend.Server // requests that other routers pass on
	strangers   *frontend.Server // the same from hosts without a known router, which are refused
	front       *frontend.Server
	exchange    *peers.Exchange
	followers   [followedTopics]*feed.Follower // by topic
	incarnation int64
	startedAt   time.Time
	peerUpdates peerUpdates

	endpointsRead       atomic.Bool   // the endpoints' topic was read at least once
	removalsConfirmedAt atomic.Int64  // Unix ns; 0 is never
	registered          atomic.Bool   // the others' registrations were read after the own one was written
	hintsTried          atomic.Bool   // the hints were loaded, or loading failed
	leavingChanged      chan struct{} // signals a new announcement to save; buffers one
	draining            atomic.Bool

	zonesMu   sync.Mutex // guards zones and zoneHolds; only permitTable.mu, upstream.Table.mu and the logger's locks are taken under it
	zones     map[string]bool
	zoneHolds map[string]time.Time // until when a zone stays out whose mark the store lost

	listeners listeners
	group     conc.WaitGroup
	ctx       context.Context // ends when the process stops; set by Start
	stop      context.CancelFunc
	era       atomic.Int64 // of the store, when this router registered
	closing   sync.Once
}

// New returns a router that is not started.
func New(s Settings, adapter Adapter, observer forward.Observer, log logr.Logger) (*Router, error) {
	return newRouter(s, adapter, observer, log, rand.Float64)
}

// newRouter is New with a source of random numbers in [0,1).
func newRouter(s Settings, adapter Adapter, observer forward.Observer, log logr.Logger, draw func() float64) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	r := &Router{s: s, log: log, adapter: adapter, incarnation: time.Now().UnixNano(), leavingChanged: make(chan struct{}, 1), zones: make(map[string]bool), zoneHolds: make(map[string]time.Time)}
	r.endpoints = upstream.New(upstream.Config{Zone: s.Zone, RemovalGrace: removalGrace, Bound: loadBound,
		StaleBound: staleBound, CapExtra: capExtra, ScarceCapacity: s.ScarceCapacity}, draw)
	r.peers = peers.New(s.Name, peers.DeadAfter(1))
	r.pool = http1.NewPool(endpointAckTimeout)
	r.relayPool = http1.NewPoolFrom(s.Address, endpointAckTimeout)
	r.retryBudget = retry.NewSharedBudget(s.RetryWindow)
	r.rollouts = newRollouts(s.Name)
	r.endpoints.SetRollouts(r.rollouts.table)
	r.setBounds(s.Bounds)
	r.origins = origins.New(time.Now())
	r.streams = newStreamOrigins(r)
	r.quarantine = quarantine.New(r.onCrashChange, r.runsTrials)
	r.links = newEndpointLinks(r)
	r.links.onStatus = r.recordStatus
	r.permits, r.observer = newPermitTable(r), observer
	handler := &forward.Server{Links: r.links, Permits: r.permits, Codec: adapter.Codec(), Table: r.table, Endpoints: r.endpoints, Pool: r.pool, RelayPool: r.relayPool,
		RetryBudget: sharedRetries{r.retryBudget, r.members}, Quarantine: r.quarantine, Origins: r.streams, Observer: observer, OnLeaving: r.onLeaving, OnAnnounced: r.onAnnounced, OnRejection: func(*balance.Grant) { r.sendNow() }, OnOverload: r.sendNow, RouterCount: r.members,
		Others: r.others}
	r.requests = handler
	r.front = &frontend.Server{Handler: handler, Limits: r.limits, Log: log,
		MaxConnections: int(callerDescriptorShare * float64(s.Descriptors))}
	r.relayed = &frontend.Server{Handler: handler.RelayHandler(), Limits: r.limits, Log: log, MaxConnections: int(relayDescriptorShare * float64(s.Descriptors))}
	r.strangers = &frontend.Server{Handler: handler.UnknownRouterHandler(), Limits: r.limits, Log: log, MaxConnections: maxStrangers, MaxBodyMemory: maxStrangerBytes}
	return r, nil
}

// sharedRetries divides the slack of the retries among the routers.
type sharedRetries struct {
	budget  *retry.SharedBudget
	members func() int
}

func (s sharedRetries) CountRequest(now time.Time, name string) { s.budget.CountRequest(now, name) }

func (s sharedRetries) Allow(now time.Time, name string) bool {
	return s.budget.Allow(now, name, s.members())
}

func (r *Router) members() int { return r.peers.Count(time.Now()) }

func (r *Router) limits() frontend.Limits {
	t := r.config.Load()
	if t == nil {
		return frontend.Limits{}
	}
	return frontend.Limits{HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes,
		HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// Ready reports whether the router takes requests.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.table() != nil && r.endpointsRead.Load() && r.hintsTried.Load()
}

// ConfigVersion returns the version of the configuration in force, or 0.
func (r *Router) ConfigVersion() int64 {
	if t := r.config.Load(); t != nil {
		return t.Version
	}
	return 0
}

// listeners are the listening sockets and servers of a process.
type listeners struct {
	front net.Listener
	relay net.Listener // of other routers; nil if there are none
	http  []*http.Server
}

// Start opens the sockets and starts to follow the store.
func (r *Router) Start() error {
	r.startedAt = time.Now()
	r.catchUp.start(r.startedAt, r.s.Peer == "") // before anyone asks whether the router is ready
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
	r.ctx, r.stop = ctx, cancel
	r.prepareFollowers()
	if err := r.startPeers(ctx); err != nil {
		cancel()
		return err
	}
	r.follow(ctx)
	r.group.Go(func() { r.runHousekeeping(ctx) })
	r.group.Go(func() {
		r.awaitReady(ctx)
		if err := r.front.Serve(l); err != nil {
			r.log.Error(err, "front listener failed")
		}
	})
	r.log.Info("started", "zone", r.s.Zone, "front", r.s.Front, "boot", r.incarnation)
	return nil
}

const (
	// readyWait is how long callers that connect to a starting process wait for its
	// first reads of the store, before they are refused.
	readyWait = 400 * time.Millisecond
	readyPoll = 2 * time.Millisecond
)

// awaitReady blocks until the router is ready, for at most readyWait.
func (r *Router) awaitReady(ctx context.Context) {
	for last := time.Now().Add(readyWait); !r.Ready() && ctx.Err() == nil && time.Now().Before(last); {
		time.Sleep(readyPoll)
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
			r.log.Error(err, "listener failed", "serves", what)
		}
	})
	return nil
}

func (r *Router) startPeers(ctx context.Context) error {
	if r.s.Peer == "" {
		r.log.Info("no peer address configured; heartbeats are disabled")
		return nil
	}
	conn, err := net.ListenPacket("udp", r.s.Peer)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	l, err := net.Listen("tcp", r.s.Peer)
	if err != nil {
		return errors.Wrap(err, "relayed requests")
	}
	r.listeners.relay = l
	r.group.Go(func() {
		if err := r.relayed.Serve(routerListener{l, r.peers.IsHost, r.strangers.ServeConn}); err != nil {
			r.log.Error(err, "listener failed", "serves", "relayed requests")
		}
	})
	r.exchange = &peers.Exchange{Table: r.peers, Conn: conn, Log: r.log, Self: r.heartbeat, OnHeartbeat: r.onHeartbeat, OnRelay: r.onRelay, OnQuery: r.onQuery, OnBegun: r.streams.onBegun, OnSaved: r.streams.onSaved, OnStoreLost: r.onStoreLost, OnPermit: r.permits.onMessage,
		Interval: r.heartbeatInterval, Wake: make(chan struct{}, 1)}
	r.group.Go(func() { r.exchange.Run(ctx) })
	return nil
}

func (r *Router) heartbeat() peers.Heartbeat {
	h := peers.Heartbeat{Name: r.s.Name, Config: r.ConfigVersion(), Incarnation: r.incarnation, Front: r.s.Front, Zone: r.s.Zone, Ready: r.Ready(), Draining: r.draining.Load(),
		StoreReachable: true, Running: r.endpoints.Running(time.Now())}
	for _, f := range r.followers {
		h.StoreReachable = h.StoreReachable && f.Reachable()
		h.Offsets = append(h.Offsets, f.Next())
		h.Eras = append(h.Eras, f.Era())
	}
	for key, id := range r.endpoints.TakeNewPlacements() {
		h.Placements = append(h.Placements, peers.Placement{Key: key, Endpoint: id})
	}
	h.Loads = r.endpoints.TakeLoadReports(time.Now())
	h.Reading, h.Paces = r.endpoints.Reading(time.Now()), r.endpoints.TakePaceReports(time.Now())
	h.Begun = r.origins.TakeBegun()
	h.SavesStreams = true
	h.Leaving = r.endpoints.NewlyLeaving(time.Now())
	if r.reportsRemovals(time.Now()) {
		h.Removals = r.endpoints.NewRemovals(time.Now())
	}
	h.Rollouts = r.rollouts.table.Reports(time.Now())
	h.Crashes = r.quarantine.Reports(time.Now())
	h.Parts = r.quarantine.Evidence(time.Now())
	h.Lost, h.Reached = r.links.table.Lost(), r.links.table.Reached(time.Now(), r.peers.Lost(time.Now()))
	h.Restrictions, h.Demand = r.endpoints.Restrictions(time.Now()), r.endpoints.Demand(time.Now())
	h.CPU = r.permits.cpuShare()
	return h
}

// sendNow sends a heartbeat before its time.
func (r *Router) sendNow() {
	if r.exchange != nil {
		r.exchange.SendNow()
	}
}

// onHeartbeat handles the heartbeat of another router.
func (r *Router) onHeartbeat(now time.Time, h peers.Heartbeat) {
	r.catchUp.heard(h.Config)
	for i, next := range h.Offsets[:min(len(h.Offsets), len(r.followers))] {
		era := int64(0) // of a build that does not know eras
		if i < len(h.Eras) {
			era = h.Eras[i]
		}
		r.followers[i].ObserveOffset(now, era, next)
	}
	for _, p := range h.Placements {
		r.endpoints.RecordPlacement(now, p.Key, p.Endpoint)
	}
	r.endpoints.MergeLoadReports(now, h.Loads)
	r.endpoints.MergePaceReports(now, h.Paces)
	r.streams.merge(now, h.Begun)
	if r.endpoints.MergeLeaving(now, h.Leaving) {
		r.saveLeaving()
		r.permits.endpointsChanged(now)
	}
	r.endpoints.MergeRemovals(now, h.Removals)
	r.links.table.MergeReached(now, h.Reached)
	r.endpoints.MergeRestrictions(now, h.Name, h.Restrictions)
	r.quarantine.Merge(now, h.Crashes)
	r.quarantine.MergeEvidence(now, quarantine.Source{Router: h.Name, Incarnation: h.Incarnation}, h.Parts)
	r.mergeRollouts(now, &h)
	r.peersChanged(now)
}

// updatePeers passes the state of the other routers on to the endpoint table.
func (r *Router) updatePeers(now time.Time) {
	members := r.peers.Count(now)
	r.peers.SetDeadAfter(r.deadAfter(members))
	r.endpoints.SetPeers(r.s.Name, r.peers.Members(now), r.peers.CountReady(now), r.peers.Running(now), r.heartbeatInterval(members))
	r.endpoints.SetPeerReading(r.peers.Reading())
}

// heartbeatInterval returns the interval between heartbeats among n routers.
func (r *Router) heartbeatInterval(n int) time.Duration {
	if r.rollouts.unsettled.Load() {
		return peers.IntervalInRollout(n)
	}
	return peers.Interval(n)
}

// deadAfter returns the time without a heartbeat after which a router among n is no
// longer named to callers. The platform allows the contact time plus three seconds.
func (r *Router) deadAfter(n int) time.Duration {
	d := peers.DeadAfter(n)
	if contact := r.bounds.Load().Contact; contact > 0 {
		d = min(d, contact+deadAfterMargin)
	}
	return d
}

// runHousekeeping periodically drops expired state.
func (r *Router) runHousekeeping(ctx context.Context) {
	every(ctx, housekeepingInterval, func(now time.Time) {
		r.pool.Expire(now)
		r.relayPool.Expire(now)
		r.endpoints.Sweep(now)
		r.expireZoneHolds(now)
		r.origins.Observe(now, r.endpoints.Versions())
		r.updatePeers(now)
		r.permits.sweep(now)
	})
}

// every calls step at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			step(time.Now())
		}
	}
}
