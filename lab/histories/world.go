package histories

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/lab/admissionsim"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/standin/logstore"
	"github.com/stoatmount/stoatmount/version/config"
)

// sabotage breaks one mechanism on purpose, to show that the checks fail.
type sabotage int

const (
	wholeSystem      sabotage = iota
	serveStale                // routers take work under any configuration
	dispatchAnyway            // an attempt is dispatched whatever the ledger says
	refuseAsNotRun            // every refusal says not run
	acceptAtOnce              // a change is told as accepted once it is in the log
	numberOfSabotage          // number of values
)

// Sizes and times of a history.
const (
	routers     = 5
	shards      = 2
	freshFor    = 5 * time.Second
	window      = 20 * time.Second // of the ledger
	keepRecords = 40 * time.Second // in the log
	claimWait   = 1500 * time.Millisecond
	entryWait   = 2 * time.Second
	readEvery   = 250 * time.Millisecond
	gossipEvery = 500 * time.Millisecond
	ledgerEvery = 100 * time.Millisecond
)

// sizes are those of the admission side: crowded, so that caps matter.
var sizes = admissionsim.Sizes{Routers: routers, Endpoints: 3, Groups: 1, Capacity: 3, ColdCapacity: 1, WarmAfter: 8,
	ServiceTime: 500 * time.Millisecond, ArrivalRate: 18, Lag: 200 * time.Millisecond, MeanMultiple: 100}

// host is one router process.
type host struct {
	router   *sim.Router
	table    *member.Table
	follower *configlog.Follower
	shards   [shards]*ledger.Shard
	tickets  []ticket
	changes  []*configlog.Submission
	ids      []string // of changes
	version  config.Version
}

// ticket is a claim that waits at the appender.
type ticket struct {
	*ledger.Ticket
	shard *ledger.Shard
	since time.Time
	reply func(ledger.Result)
}

// world is one history.
type world struct {
	seed   uint64
	step   int
	rng    *rand.Rand
	site   *admissionsim.Simulation
	fleet  *sim.Fleet
	clock  *clockwork.FakeClock
	log    *logstore.Memory
	check1 *invariant.Checker
	hosts  map[*sim.Router]*host

	blocked map[[2]*sim.Router]bool
	noLog   map[*sim.Router]bool
	noList  bool

	keys     []*request
	accepted map[config.Version]time.Time
	truth    *configlog.Fold
	changes  int

	sabotage sabotage
	broken   []Broken
	counts   Counts
}

func newWorld(seed uint64, broken sabotage) *world {
	clock := clockwork.NewFakeClockAt(sim.Epoch)
	w := &world{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), clock: clock, sabotage: broken,
		log:      logstore.NewMemory(logstore.Options{Clock: clock, KeepFor: keepRecords, Seed: seed}),
		check1:   invariant.New(logr.Discard()),
		hosts:    make(map[*sim.Router]*host),
		blocked:  make(map[[2]*sim.Router]bool),
		noLog:    make(map[*sim.Router]bool),
		accepted: make(map[config.Version]time.Time),
		truth:    configlog.NewFold(),
	}
	w.site = admissionsim.NewSimulation(sizes, seed, func(s *admissionsim.Simulation) admissionsim.Policy {
		return gate{Policy: admissionsim.NewOwners(s), world: w}
	})
	w.fleet = w.site.Fleet
	w.fleet.Blocked = w.isBlocked
	list := w.fleet.List
	w.fleet.List = func() []member.Member {
		if w.noList {
			return nil
		}
		return list()
	}
	start := w.fleet.OnStart
	w.fleet.OnStart = func(r *sim.Router) {
		start(r)
		w.start(r)
	}
	for _, r := range w.fleet.Routers {
		w.start(r)
	}
	return w
}

// isBlocked reports whether a message is lost: its link is cut, or its sender
// is not ready to speak yet.
func (w *world) isBlocked(from, to *sim.Router) bool {
	return w.blocked[[2]*sim.Router{from, to}] || !w.hosts[from].follower.Ready()
}

// sync sets the clock of the log and of the parts that have one.
func (w *world) sync() {
	w.clock.Advance(w.fleet.Now.Sub(w.clock.Now()))
}

// start makes the parts of a new process.
func (w *world) start(r *sim.Router) {
	w.sync()
	h := &host{router: r, table: r.Table}
	reach := reach{world: w, host: h}
	h.follower = configlog.NewFollower(configlog.Options{
		Self: configlog.Member{Name: r.Member.Name, Region: r.Member.Region}, Log: reach, Peers: reach,
		Clock: w.clock, Rand: rand.New(rand.NewPCG(r.Member.Incarnation, 5)), Checker: w.check1, Logger: logr.Discard(),
		OnProgress: func(s configlog.Status) {
			h.table.MergeConfigGossip(member.ConfigGossip{Version: uint64(s.Version), End: uint64(s.KnownEnd), LogReadAt: s.LogReadAt})
		},
		Fresh: freshFor, CheckpointEvery: keepRecords / 4, CheckpointAfter: 8,
	})
	for i := range h.shards {
		h.shards[i] = ledger.NewShard(ledger.Options{
			Log: reach, Clock: w.clock, Checker: w.check1, Logger: logr.Discard(), Window: window,
			SoleAppender: func(shard int, since time.Time) bool {
				return h.table.SoleOwner(w.fleet.Now, member.DutyLedger, fmt.Sprint(shard), since)
			},
		}, i)
	}
	w.hosts[r] = h
	w.every(h, readEvery, w.read)
	w.every(h, gossipEvery, w.hear)
	w.every(h, ledgerEvery, w.serveLedger)
}

// every runs fn in the process of h again and again.
func (w *world) every(h *host, period time.Duration, fn func(*host)) {
	phase := time.Duration(w.rng.Int64N(int64(period)))
	var loop func()
	loop = func() {
		w.sync()
		fn(h)
		w.fleet.Do(h.router, period, loop)
	}
	w.fleet.Do(h.router, phase, loop)
}

// read follows the configuration stream.
func (w *world) read(h *host) {
	ctx := context.Background()
	if err := h.follower.Poll(ctx, 0); err != nil && !h.follower.Ready() {
		h.follower.BootstrapFromPeers(ctx)
	}
	h.follower.AppendCheckpoint(ctx)
	w.stepChanges(h)
	if version := h.follower.Version(); version < h.version {
		w.breaks("version never reverts", "%s went from %d back to %d", h.router.Member.Name, h.version, version)
	} else {
		h.version = version
	}
}

// hear takes what gossip tells about the configuration stream.
func (w *world) hear(h *host) {
	news := h.table.ConfigGossip()
	heard := time.Time{}
	if age := h.table.MajorityAge(w.fleet.Now); age != member.InfiniteAge {
		heard = w.fleet.Now.Add(-age)
	}
	h.follower.ObserveGossip(configlog.GossipUpdate{End: offset(news.End), LogReadAt: news.LogReadAt, MajorityHeardAt: heard})
	if status := h.follower.Status(); status.KnownEnd > status.Next {
		h.follower.PullPeer(context.Background())
	}
}

// zoneConfig returns a configuration that differs by version from others.
func zoneConfig(version string) *config.Config {
	second := config.Duration(time.Second)
	return &config.Config{
		Zones:  []config.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Models: []config.Model{{Name: "m", Version: version, PrefillPerSecond: 1}},
		Endpoints: []config.Endpoint{{
			Name: "w", Zone: "a", Model: "m", Capacity: 1, ColdCapacity: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80),
		}},
		Kinds: []config.Kind{{
			Name: "k", Model: "m", Worth: 1, FullUntil: second, Deadline: 2 * second, FirstByte: second,
			BetweenBytes: second, Objective: 0.9,
		}},
		Limits: config.Limits{
			MeanMultiple: 1.25, LedgerWindow: config.Duration(window), LedgerShards: shards, CrashLimit: 3,
			AddressTTL: second, WeightLoadsPerMinute: 1,
		},
	}
}
