package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/logstore"
	"github.com/stoatmount/stoatmount/version/config"
)

// mutation is a fault put in on purpose: it disables one safety mechanism.
type mutation int

const (
	noMutation              mutation = iota
	acceptWithoutMajority            // a change is accepted before a majority has it
	freshFromOnePeer                 // gossip from one peer counts as gossip from a majority
	gossipBeforeRead                 // a restarted router gossips before it has read the log
	treatLostReplyAsRefusal          // an append without reply counts as refused
)

const (
	simulatedRouters = 5
	freshnessWindow  = 5 * time.Second
)

// node is one simulated router.
type node struct {
	*Follower
	name           string
	side           int  // side of a network partition between routers
	logUnreachable bool // cannot reach the log
	heardAt        map[string]time.Time
	logReadAt      time.Time // latest read of the end of the log known from gossip
	subs           []*submission
	version        config.Version
	checked        platformclient.Offset // next offset when checkAgrees last compared
}

type submission struct {
	*Submission
	change Change
}

// simulation simulates several routers on one log.
type simulation struct {
	t               rapid.TB
	mutation        mutation
	clock           *clockwork.FakeClock
	log             *logstore.Memory
	rand            *rand.Rand
	checker         *invariant.Checker
	nodes           []*node
	accepted        map[config.Version]time.Time
	changes         int
	referenceFold   *Fold    // reference state after all records ever appended
	referenceStates []string // reference state before each offset, as JSON; from offset 1 on
}

// access is the access of one node to the log and to its peers.
type access struct {
	sim  *simulation
	self string
}

var errPartitioned = errors.New("network partition")

func (a access) Append(ctx context.Context, stream string, records [][]byte) (platformclient.Offset, error) {
	if a.sim.node(a.self).logUnreachable {
		return 0, &platformclient.AppendError{Cause: errPartitioned}
	}
	offset, err := a.sim.log.Append(ctx, stream, records)
	a.sim.clock.Advance(time.Millisecond)
	if a.sim.mutation == treatLostReplyAsRefusal && err != nil {
		err = &platformclient.AppendError{Cause: err}
	}
	return offset, err
}

func (a access) Read(ctx context.Context, stream string, from platformclient.Offset, limit int, _ time.Duration) (platformclient.Page, error) {
	if a.sim.node(a.self).logUnreachable {
		return platformclient.Page{}, errPartitioned
	}
	return a.sim.log.Read(ctx, stream, from, limit, 0)
}

func (a access) Members() ([]Member, bool) {
	var members []Member
	for i := range simulatedRouters {
		if name := nodeName(i); name != a.self {
			members = append(members, Member{Name: name, Region: "r"})
		}
	}
	return members, true
}

func (a access) Pull(_ context.Context, member string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	if a.sim.node(a.self).side != a.sim.node(member).side {
		return nil, errPartitioned
	}
	return a.sim.node(member).ServePage(from), nil
}

func nodeName(i int) string { return fmt.Sprintf("e%d", i) }

func (sim *simulation) node(name string) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == name })
	return sim.nodes[i]
}

func newSimulation(t rapid.TB, variant mutation) *simulation {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	sim := &simulation{
		t: t, mutation: variant, clock: clock, rand: rand.New(rand.NewPCG(1, 1)),
		log:           logstore.NewMemory(logstore.Options{Clock: clock, KeepRecords: 12}),
		checker:       invariant.New(logr.Discard()),
		accepted:      make(map[config.Version]time.Time),
		referenceFold: NewFold(),
	}
	for i := range simulatedRouters {
		sim.nodes = append(sim.nodes, sim.start(i))
	}
	return sim
}

func (sim *simulation) start(i int) *node {
	name := nodeName(i)
	n := &node{name: name, heardAt: make(map[string]time.Time)}
	n.Follower = NewFollower(Options{
		Self: Member{Name: name, Region: "r"}, Log: access{sim, name}, Peers: access{sim, name},
		Clock: sim.clock, Rand: rand.New(rand.NewPCG(uint64(i), 7)), Checker: sim.checker, Logger: logr.Discard(),
		FreshFor: freshnessWindow, CheckpointAfter: 4, CheckpointEvery: time.Minute,
	})
	return n
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  sim.submit,
		"step":    func(*rapid.T) { sim.step() },
		"poll":    func(t *rapid.T) { sim.poll(sim.any(t)) },
		"tick":    func(*rapid.T) { sim.tick() },
		"work":    func(*rapid.T) { sim.tick() }, // as "tick", which doubles its weight
		"run":     func(*rapid.T) { sim.ticks(3) },
		"pull":    func(t *rapid.T) { sim.any(t).PullPeer(context.Background()) },
		"cut":     sim.partition,
		"heal":    sim.heal,
		"noLog":   func(t *rapid.T) { n := sim.any(t); n.logUnreachable = !n.logUnreachable },
		"restart": sim.restart,
		"fault":   sim.fault,
		"wait":    sim.wait,
		"":        func(*rapid.T) { sim.check() },
	}
}

func (sim *simulation) any(t *rapid.T) *node {
	return sim.nodes[rapid.IntRange(0, simulatedRouters-1).Draw(t, "node")]
}

func (sim *simulation) poll(n *node) {
	ctx := context.Background()
	if err := n.Poll(ctx, 0); err != nil && !n.Ready() {
		n.BootstrapFromPeers(ctx)
	}
	sim.clock.Advance(time.Millisecond)
	n.AppendCheckpoint(ctx)
}

// tick makes every node read the log, gossip with two others and pull newer records.
func (sim *simulation) tick() {
	for i, n := range sim.nodes {
		sim.poll(n)
		for range 2 {
			sim.gossip(n, sim.nodes[(i+1+sim.rand.IntN(simulatedRouters-1))%simulatedRouters])
		}
		if status := n.Status(); status.KnownEnd > status.Next {
			n.PullPeer(context.Background())
		}
	}
	sim.step()
	sim.clock.Advance(500 * time.Millisecond)
	sim.check()
}

// partition partitions the network into two sides.
func (sim *simulation) partition(t *rapid.T) {
	for _, n := range sim.nodes {
		n.side = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

func (sim *simulation) heal(*rapid.T) {
	for _, n := range sim.nodes {
		n.side = 0
		n.logUnreachable = false
	}
}

// submit submits a change that is based on the version in force at a node.
func (sim *simulation) submit(t *rapid.T) {
	n := sim.any(t)
	sim.changes++
	c := Change{ID: fmt.Sprintf("c%d", sim.changes), Base: n.Version(), Author: n.name}
	zone := rapid.SampledFrom([]string{"xela-a", "xela-b"}).Draw(t, "zone")
	switch op := rapid.SampledFrom([]Op{OpPush, OpTakeOut, OpBringBack}).Draw(t, "op"); op {
	case OpPush:
		c.Op, c.Config = op, testConfig(c.ID)
	default:
		c.Op, c.Target = op, &config.Target{Scope: config.ScopeZone, Name: zone}
	}
	sim.begin(n, c)
}

func (sim *simulation) begin(n *node, c Change) {
	if c.ID == "" {
		c.ID = fmt.Sprintf("s%d", sim.rand.IntN(1<<30))
	}
	s, err := n.BeginSubmission(c)
	if err != nil {
		return
	}
	if sim.mutation == acceptWithoutMajority {
		for i := range simulatedRouters {
			s.confirmed[nodeName(i)] = true
		}
	}
	n.subs = append(n.subs, &submission{Submission: s, change: c})
}

// step makes progress on all submissions and checks the results that operators get.
func (sim *simulation) step() {
	for _, n := range sim.nodes {
		kept := n.subs[:0]
		for _, s := range n.subs {
			s.Step(context.Background())
			if s.Done() {
				sim.checkResult(s)
				continue
			}
			kept = append(kept, s)
		}
		n.subs = kept
	}
}

// checkResult checks the result that an operator gets against the log.
func (sim *simulation) checkResult(s *submission) {
	decision, err := s.Result()
	logged, inLog := sim.reference().EntryOf(s.change.ID)
	if refusal, ok := outcome.AsRefusal(err); ok {
		if refusal.Code == outcome.LogUnavailable && inLog && logged.Decision.Accepted {
			sim.t.Fatalf("change %s was refused, but is in force as version %d", s.change.ID, logged.Decision.Version)
		}
		return
	}
	if !inLog || logged.Decision.Accepted != decision.Accepted {
		sim.t.Fatalf("change %s got decision %+v, the log has %+v", s.change.ID, decision, logged.Decision)
	}
	if _, known := sim.accepted[decision.Version]; decision.Accepted && !known {
		sim.accepted[decision.Version] = sim.clock.Now()
	}
}

// reference returns the state after all records that were ever appended.
func (sim *simulation) reference() *Fold {
	for _, r := range sim.log.All(platformclient.StreamConfig)[sim.referenceFold.Next()-1:] {
		sim.referenceStates = append(sim.referenceStates, checkpointOf(sim.t, sim.referenceFold))
		if _, err := sim.referenceFold.Apply(r); err != nil {
			sim.t.Fatalf("%v", err)
		}
	}
	return sim.referenceFold
}

func checkpointOf(t rapid.TB, f *Fold) string {
	data, err := json.Marshal(f.Checkpoint())
	if err != nil {
		t.Fatalf("%v", err)
	}
	return string(data)
}

func (sim *simulation) gossip(from, to *node) {
	if from.side != to.side || !from.Ready() && sim.mutation != gossipBeforeRead {
		return
	}
	now := sim.clock.Now()
	from.heardAt[from.name] = now
	for name, at := range from.heardAt {
		if at.After(to.heardAt[name]) {
			to.heardAt[name] = at
		}
	}
	status := from.Status()
	from.logReadAt = later(from.logReadAt, status.LogReadAt)
	to.logReadAt = later(to.logReadAt, from.logReadAt)
	to.ObserveGossip(GossipUpdate{End: status.KnownEnd, LogReadAt: to.logReadAt, MajorityHeardAt: sim.majorityHeard(to)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// majorityHeard returns the time as of which n has gossip from more than half of the nodes.
func (sim *simulation) majorityHeard(n *node) time.Time {
	if n.Ready() || sim.mutation == gossipBeforeRead {
		n.heardAt[n.name] = sim.clock.Now()
	}
	var times []time.Time
	for i := range simulatedRouters {
		times = append(times, n.heardAt[nodeName(i)])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if sim.mutation == freshFromOnePeer {
		return times[1]
	}
	return times[simulatedRouters/2]
}

func (sim *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, simulatedRouters-1).Draw(t, "node")
	sim.restartNode(i)
}

// restartNode restarts node i with empty memory.
func (sim *simulation) restartNode(i int) {
	old := sim.nodes[i]
	sim.nodes[i] = sim.start(i)
	sim.nodes[i].side, sim.nodes[i].logUnreachable = old.side, old.logUnreachable
}

func (sim *simulation) fault(t *rapid.T) {
	name := rapid.SampledFrom([]fault.Name{fault.Outage, fault.LostReply}).Draw(t, "fault")
	times := rapid.SampledFrom([]int{1, 2, 30}).Draw(t, "times")
	if name == fault.LostReply {
		times = 1
	}
	sim.injectFault(name, times)
}

func (sim *simulation) injectFault(name fault.Name, times int) {
	if err := sim.log.Faults().On(fault.Fault{Name: name, Count: times}); err != nil {
		sim.t.Fatalf("%v", err)
	}
}

func (sim *simulation) wait(t *rapid.T) {
	waits := []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, freshnessWindow}
	sim.clock.Advance(rapid.SampledFrom(waits).Draw(t, "time"))
}

// check checks the guarantees about the configuration: versions never revert, a
// node's state is that of the log, and a node accepts work only under a version
// that was in force within the freshness window.
func (sim *simulation) check() {
	now := sim.clock.Now()
	for _, n := range sim.nodes {
		version := n.Version()
		if version < n.version {
			sim.t.Fatalf("%s went from version %d back to %d", n.name, n.version, version)
		}
		n.version = version
		sim.checkAgrees(sim.t, n)
		if !n.Fresh(now) {
			continue
		}
		for accepted, at := range sim.accepted {
			if now.Sub(at) > freshnessWindow && version < accepted {
				sim.t.Fatalf("%s accepts work under version %d, %v after version %d was accepted", n.name, version, now.Sub(at), accepted)
			}
		}
	}
	if total := sim.checker.Total(); total > 0 {
		sim.t.Fatalf("%v", sim.checker.Violations())
	}
}

// checkAgrees checks that the state of a node is that of the log up to its offset.
func (sim *simulation) checkAgrees(t rapid.TB, n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fold == nil || n.checked == n.fold.Next() {
		return
	}
	n.checked = n.fold.Next()
	want := checkpointOf(t, sim.reference())
	if int(n.checked) <= len(sim.referenceStates) {
		want = sim.referenceStates[n.checked-1]
	}
	if got := checkpointOf(t, n.fold); got != want {
		t.Fatalf("%s has state %s, the log gives %s", n.name, got, want)
	}
}

func runSimulation(t *rapid.T, variant mutation) {
	sim := newSimulation(t, variant)
	sim.tick()
	sim.submit(t)
	sim.tick()
	t.Repeat(sim.actions())
}

func TestConfigurationNeverRevertsAndIsFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, noMutation) })
}

// failureRecorder stands in for a test that is expected to fail and records the failure.
type failureRecorder struct {
	*testing.T
	failed bool
	text   string
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.failed = true
	r.text = fmt.Sprintf(format, args...)
}

func (r *failureRecorder) Fatal(...any)        { r.failed = true }
func (r *failureRecorder) Fail()               { r.failed = true }
func (r *failureRecorder) FailNow()            { r.failed = true }
func (r *failureRecorder) Logf(string, ...any) {}
func (r *failureRecorder) Log(...any)          {}

// script is a sequence of events in which a disabled mechanism violates a guarantee.
type script struct {
	name     string
	mutation mutation
	run      func(sim *simulation)
}

// submitWithAccess submits a change at e0 while the given nodes can reach the
// log and the others are partitioned from them and from the log.
func (sim *simulation) submitWithAccess(with ...int) {
	for i, n := range sim.nodes {
		n.side, n.logUnreachable = 1, true
		if slices.Contains(with, i) {
			n.side, n.logUnreachable = 0, false
		}
	}
	sim.begin(sim.nodes[0], Change{Op: OpPush, Config: testConfig("new"), Base: sim.nodes[0].Version()})
	sim.ticks(4)
}

func (sim *simulation) ticks(n int) {
	for range n {
		sim.tick()
	}
}

func scripts() []script {
	return []script{
		{"accept without majority", acceptWithoutMajority, func(sim *simulation) {
			sim.submitWithAccess(0)
			sim.ticks(20)
		}},
		{"fresh from one peer", freshFromOnePeer, func(sim *simulation) {
			sim.submitWithAccess(0, 1, 2)
			sim.ticks(20)
		}},
		{"gossip before read", gossipBeforeRead, func(sim *simulation) {
			sim.submitWithAccess(0, 1, 2)
			for i, n := range sim.nodes {
				n.logUnreachable = true
				if i == 1 || i == 2 {
					sim.restartNode(i)
					sim.nodes[i].side = 1
				}
			}
			sim.ticks(20)
		}},
		{"treat lost reply as refusal", treatLostReplyAsRefusal, func(sim *simulation) {
			sim.injectFault(fault.LostReply, 1)
			sim.begin(sim.nodes[0], Change{Op: OpPush, Config: testConfig("new"), Base: sim.nodes[0].Version()})
			sim.step()
			sim.nodes[0].logUnreachable = true
			for _, n := range sim.nodes {
				n.side = 1
			}
			sim.nodes[0].side = 0
			sim.ticks(20)
		}},
	}
}

// TestDisabledConfigMechanismsAreDetected checks that the checks fail in each
// script while its mechanism is disabled and pass while it is enabled.
func TestDisabledConfigMechanismsAreDetected(t *testing.T) {
	for _, s := range scripts() {
		for _, variant := range []mutation{noMutation, s.mutation} {
			t.Run(fmt.Sprintf("%s, mutated %v", s.name, variant != noMutation), func(t *testing.T) {
				r := &failureRecorder{T: t}
				sim := newSimulation(r, variant)
				sim.tick()
				sim.begin(sim.nodes[0], Change{Op: OpPush, Config: testConfig("first")})
				sim.ticks(8)
				qt.Assert(t, sim.accepted, qt.HasLen, 1)
				s.run(sim)
				qt.Check(t, r.failed, qt.Equals, variant != noMutation, qt.Commentf("%s", r.text))
			})
		}
	}
}
