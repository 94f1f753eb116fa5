package histories

import (
	"context"
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

// mutation disables one mechanism, to test that the checks detect it.
type mutation int

const (
	noMutation           mutation = iota
	serveStale                    // routers accept requests under any configuration
	dispatchWithoutClaim          // an attempt is dispatched though another one is in progress
	refuseAsNotRun                // every refusal claims that the request has not run
	acceptOnAppend                // a change counts as accepted once it is in the log
	mutationCount                 // number of values
)

// Sizes and times of a history.
const (
	routers        = 5
	shards         = 2
	freshFor       = 5 * time.Second
	ledgerWindow   = 20 * time.Second
	logRetention   = 40 * time.Second
	claimTimeout   = 1500 * time.Millisecond
	entryTimeout   = 2 * time.Second
	pollInterval   = 250 * time.Millisecond
	gossipInterval = 500 * time.Millisecond
	ledgerInterval = 100 * time.Millisecond
)

// sizes are those of the admission simulation. The offered load equals the capacity,
// so that caps are reached; MeanMultiple is so high that the mean bounds nothing.
var sizes = admissionsim.Sizes{Routers: routers, Endpoints: 3, Groups: 1, Capacity: 3, ColdCapacity: 1, WarmAfter: 8,
	ServiceTime: 500 * time.Millisecond, ArrivalRate: 18, Lag: 200 * time.Millisecond, MeanMultiple: 100}

// process is one router process.
type process struct {
	router      *sim.Router
	table       *member.Table
	follower    *configlog.Follower
	shards      [shards]*ledger.Shard
	claims      []pendingClaim
	submissions []*configlog.Submission
	changeIDs   []string
	version     config.Version
}

// pendingClaim is a claim that the appender has not settled yet.
type pendingClaim struct {
	*ledger.PendingClaim
	shard *ledger.Shard
	since time.Time
	reply func(ledger.Result)
}

// history is the state of one history.
type history struct {
	seed       uint64
	step       int
	rng        *rand.Rand
	simulation *admissionsim.Simulation
	fleet      *sim.Fleet
	clock      *clockwork.FakeClock
	log        *logstore.Memory
	checker    *invariant.Checker
	processes  map[*sim.Router]*process

	blocked  map[[2]*sim.Router]bool
	logDown  map[*sim.Router]bool
	listDown bool

	requests    []*request
	acceptedAt  map[config.Version]time.Time
	logFold     *configlog.Fold
	changeCount int

	mutation   mutation
	violations []Violation
	counts     Counts
}

func newHistory(seed uint64, mutated mutation) *history {
	clock := clockwork.NewFakeClockAt(sim.Epoch)
	h := &history{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), clock: clock, mutation: mutated,
		log:        logstore.NewMemory(logstore.Options{Clock: clock, KeepFor: logRetention, Seed: seed}),
		checker:    invariant.New(logr.Discard()),
		processes:  make(map[*sim.Router]*process),
		blocked:    make(map[[2]*sim.Router]bool),
		logDown:    make(map[*sim.Router]bool),
		acceptedAt: make(map[config.Version]time.Time),
		logFold:    configlog.NewFold(),
	}
	h.simulation = admissionsim.NewSimulation(sizes, seed, func(s *admissionsim.Simulation) admissionsim.Policy {
		return freshConfigPolicy{Policy: admissionsim.NewOwners(s), history: h}
	})
	h.fleet = h.simulation.Fleet
	h.fleet.Blocked = h.isBlocked
	list := h.fleet.List
	h.fleet.List = func() []member.Member {
		if h.listDown {
			return nil
		}
		return list()
	}
	start := h.fleet.OnStart
	h.fleet.OnStart = func(r *sim.Router) {
		start(r)
		h.startProcess(r)
	}
	for _, r := range h.fleet.Routers {
		h.startProcess(r)
	}
	return h
}

// isBlocked reports whether a message is lost: its link is blocked, or its
// sender is not ready yet.
func (h *history) isBlocked(from, to *sim.Router) bool {
	return h.blocked[[2]*sim.Router{from, to}] || !h.processes[from].follower.Ready()
}

// syncClock advances the clock of the log and the components to the virtual time.
func (h *history) syncClock() {
	h.clock.Advance(h.fleet.Now.Sub(h.clock.Now()))
}

// startProcess creates the components of a new process.
func (h *history) startProcess(r *sim.Router) {
	h.syncClock()
	proc := &process{router: r, table: r.Table}
	network := processNetwork{history: h, process: proc}
	proc.follower = configlog.NewFollower(configlog.Options{
		Self: configlog.Member{Name: r.Member.Name, Region: r.Member.Region}, Log: network, Peers: network,
		Clock: h.clock, Rand: rand.New(rand.NewPCG(r.Member.Incarnation, 5)), Checker: h.checker, Logger: logr.Discard(),
		OnProgress: func(s configlog.Status) {
			proc.table.MergeConfigGossip(member.ConfigGossip{Version: uint64(s.Version), End: uint64(s.KnownEnd), LogReadAt: s.LogReadAt})
		},
		FreshFor: freshFor, CheckpointEvery: logRetention / 4, CheckpointAfter: 8,
	})
	for i := range proc.shards {
		proc.shards[i] = ledger.NewShard(ledger.Options{
			Log: network, Clock: h.clock, Checker: h.checker, Logger: logr.Discard(), Window: ledgerWindow,
		}, i)
	}
	h.processes[r] = proc
	h.every(proc, pollInterval, h.pollConfig)
	h.every(proc, gossipInterval, h.observeGossip)
	h.every(proc, ledgerInterval, h.serveLedger)
}

// every runs fn periodically in proc.
func (h *history) every(proc *process, period time.Duration, fn func(*process)) {
	phase := time.Duration(h.rng.Int64N(int64(period)))
	var loop func()
	loop = func() {
		h.syncClock()
		fn(proc)
		h.fleet.Do(proc.router, period, loop)
	}
	h.fleet.Do(proc.router, phase, loop)
}

// pollConfig follows the configuration stream.
func (h *history) pollConfig(proc *process) {
	ctx := context.Background()
	if err := proc.follower.Poll(ctx, 0); err != nil && !proc.follower.Ready() {
		proc.follower.BootstrapFromPeers(ctx)
	}
	proc.follower.AppendCheckpoint(ctx)
	h.advanceChanges(proc)
	if version := proc.follower.Version(); version < proc.version {
		h.addViolation("version never reverts", "%s went from %d back to %d", proc.router.Member.Name, proc.version, version)
	} else {
		proc.version = version
	}
}

// observeGossip passes what gossip says about the configuration stream to the follower.
func (h *history) observeGossip(proc *process) {
	gossip := proc.table.ConfigGossip()
	majorityAt := time.Time{}
	if age := proc.table.MajorityAge(h.fleet.Now); age != member.InfiniteAge {
		majorityAt = h.fleet.Now.Add(-age)
	}
	proc.follower.ObserveGossip(configlog.GossipUpdate{End: offset(gossip.End), LogReadAt: gossip.LogReadAt, MajorityHeardAt: majorityAt})
	if status := proc.follower.Status(); status.KnownEnd > status.Next {
		proc.follower.PullPeer(context.Background())
	}
}

// configWithModelVersion returns a configuration whose model has the given version.
func configWithModelVersion(version string) *config.Config {
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
			MeanMultiple: 1.25, LedgerWindow: config.Duration(ledgerWindow), LedgerShards: shards, CrashLimit: 3,
			AddressTTL: second, WeightLoadsPerMinute: 1,
		},
	}
}
