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

// mutation is a safety mechanism that is disabled on purpose.
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
	checked        platformclient.Offset
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
	m    *simulation
	self string
}

var errPartitioned = errors.New("network partition")

func (r access) Append(ctx context.Context, stream string, records [][]byte) (platformclient.Offset, error) {
	if r.m.node(r.self).logUnreachable {
		return 0, &platformclient.AppendError{Cause: errPartitioned}
	}
	offset, err := r.m.log.Append(ctx, stream, records)
	r.m.clock.Advance(time.Millisecond)
	if r.m.mutation == treatLostReplyAsRefusal && err != nil {
		err = &platformclient.AppendError{Cause: err}
	}
	return offset, err
}

func (r access) Read(ctx context.Context, stream string, from platformclient.Offset, limit int, _ time.Duration) (platformclient.Page, error) {
	if r.m.node(r.self).logUnreachable {
		return platformclient.Page{}, errPartitioned
	}
	return r.m.log.Read(ctx, stream, from, limit, 0)
}

func (r access) Members() ([]Member, bool) {
	var members []Member
	for i := range simulatedRouters {
		if name := nodeName(i); name != r.self {
			members = append(members, Member{Name: name, Region: "r"})
		}
	}
	return members, true
}

func (r access) Pull(_ context.Context, member string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	if r.m.node(r.self).side != r.m.node(member).side {
		return nil, errPartitioned
	}
	return r.m.node(member).ServePage(from), nil
}

func nodeName(i int) string { return fmt.Sprintf("e%d", i) }

func (m *simulation) node(name string) *node {
	i := slices.IndexFunc(m.nodes, func(n *node) bool { return n.name == name })
	return m.nodes[i]
}

func newSimulation(t rapid.TB, variant mutation) *simulation {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	m := &simulation{
		t: t, mutation: variant, clock: clock, rand: rand.New(rand.NewPCG(1, 1)),
		log:           logstore.NewMemory(logstore.Options{Clock: clock, KeepRecords: 12}),
		checker:       invariant.New(logr.Discard()),
		accepted:      make(map[config.Version]time.Time),
		referenceFold: NewFold(),
	}
	for i := range simulatedRouters {
		m.nodes = append(m.nodes, m.start(i))
	}
	return m
}

func (m *simulation) start(i int) *node {
	name := nodeName(i)
	n := &node{name: name, heardAt: make(map[string]time.Time)}
	n.Follower = NewFollower(Options{
		Self: Member{Name: name, Region: "r"}, Log: access{m, name}, Peers: access{m, name},
		Clock: m.clock, Rand: rand.New(rand.NewPCG(uint64(i), 7)), Checker: m.checker, Logger: logr.Discard(),
		Fresh: freshnessWindow, CheckpointAfter: 4, CheckpointEvery: time.Minute,
	})
	return n
}

func (m *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  m.submit,
		"step":    func(*rapid.T) { m.step() },
		"poll":    func(t *rapid.T) { m.poll(m.any(t)) },
		"tick":    func(*rapid.T) { m.tick() },
		"work":    func(*rapid.T) { m.tick() },
		"run":     func(*rapid.T) { m.ticks(3) },
		"pull":    func(t *rapid.T) { m.any(t).PullPeer(context.Background()) },
		"cut":     m.partition,
		"heal":    m.heal,
		"noLog":   func(t *rapid.T) { n := m.any(t); n.logUnreachable = !n.logUnreachable },
		"restart": m.restart,
		"fault":   m.fault,
		"wait":    m.wait,
		"":        func(*rapid.T) { m.check() },
	}
}

func (m *simulation) any(t *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, simulatedRouters-1).Draw(t, "node")]
}

func (m *simulation) poll(n *node) {
	ctx := context.Background()
	if err := n.Poll(ctx, 0); err != nil && !n.Ready() {
		n.BootstrapFromPeers(ctx)
	}
	m.clock.Advance(time.Millisecond)
	n.AppendCheckpoint(ctx)
}

// tick makes every node read the log, gossip with two others and pull newer
// records.
func (m *simulation) tick() {
	for i, n := range m.nodes {
		m.poll(n)
		for range 2 {
			m.gossip(n, m.nodes[(i+1+m.rand.IntN(simulatedRouters-1))%simulatedRouters])
		}
		if status := n.Status(); status.KnownEnd > status.Next {
			n.PullPeer(context.Background())
		}
	}
	m.step()
	m.clock.Advance(500 * time.Millisecond)
	m.check()
}

// partition partitions the network into two sides.
func (m *simulation) partition(t *rapid.T) {
	for _, n := range m.nodes {
		n.side = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

func (m *simulation) heal(*rapid.T) {
	for _, n := range m.nodes {
		n.side = 0
		n.logUnreachable = false
	}
}

// submit submits a change that is based on the version in force at a node.
func (m *simulation) submit(t *rapid.T) {
	n := m.any(t)
	m.changes++
	c := Change{ID: fmt.Sprintf("c%d", m.changes), Base: n.Version(), Author: n.name}
	zone := rapid.SampledFrom([]string{"xela-a", "xela-b"}).Draw(t, "zone")
	switch op := rapid.SampledFrom([]Op{OpPush, OpTakeOut, OpBringBack}).Draw(t, "op"); op {
	case OpPush:
		c.Op, c.Config = op, testConfig(c.ID)
	default:
		c.Op, c.Target = op, &config.Target{Scope: config.ScopeZone, Name: zone}
	}
	m.begin(n, c)
}

func (m *simulation) begin(n *node, c Change) {
	if c.ID == "" {
		c.ID = fmt.Sprintf("s%d", m.rand.IntN(1<<30))
	}
	s, err := n.BeginSubmission(c)
	if err != nil {
		return
	}
	if m.mutation == acceptWithoutMajority {
		for i := range simulatedRouters {
			s.confirmed[nodeName(i)] = true
		}
	}
	n.subs = append(n.subs, &submission{Submission: s, change: c})
}

// step makes progress on all submissions and checks the results that operators
// get.
func (m *simulation) step() {
	for _, n := range m.nodes {
		kept := n.subs[:0]
		for _, s := range n.subs {
			s.Step(context.Background())
			if s.Done() {
				m.checkResult(s)
				continue
			}
			kept = append(kept, s)
		}
		n.subs = kept
	}
}

// checkResult checks the result that an operator gets against the log.
func (m *simulation) checkResult(s *submission) {
	verdict, err := s.Result()
	logged, inLog := m.reference().Verdict(s.change.ID)
	if refusal, ok := outcome.AsRefusal(err); ok {
		if refusal.Code == outcome.LogUnavailable && inLog && logged.Verdict.Accepted {
			m.t.Fatalf("change %s was refused, but is in force as version %d", s.change.ID, logged.Verdict.Version)
		}
		return
	}
	if !inLog || logged.Verdict.Accepted != verdict.Accepted {
		m.t.Fatalf("change %s got decision %+v, the log has %+v", s.change.ID, verdict, logged.Verdict)
	}
	if _, known := m.accepted[verdict.Version]; verdict.Accepted && !known {
		m.accepted[verdict.Version] = m.clock.Now()
	}
}

// reference returns the state after all records that were ever appended.
func (m *simulation) reference() *Fold {
	for _, r := range m.log.All(platformclient.StreamConfig)[m.referenceFold.Next()-1:] {
		m.referenceStates = append(m.referenceStates, checkpointOf(m.t, m.referenceFold))
		if _, err := m.referenceFold.Apply(r); err != nil {
			m.t.Fatalf("%v", err)
		}
	}
	return m.referenceFold
}

func checkpointOf(t rapid.TB, f *Fold) string {
	data, err := json.Marshal(f.Checkpoint())
	if err != nil {
		t.Fatalf("%v", err)
	}
	return string(data)
}

// gossip sends one gossip message.
func (m *simulation) gossip(from, to *node) {
	if from.side != to.side || !from.Ready() && m.mutation != gossipBeforeRead {
		return
	}
	now := m.clock.Now()
	from.heardAt[from.name] = now
	for name, at := range from.heardAt {
		if at.After(to.heardAt[name]) {
			to.heardAt[name] = at
		}
	}
	status := from.Status()
	from.logReadAt = later(from.logReadAt, status.LogReadAt)
	to.logReadAt = later(to.logReadAt, from.logReadAt)
	to.ObserveGossip(GossipUpdate{End: status.KnownEnd, LogReadAt: to.logReadAt, MajorityHeardAt: m.majorityHeard(to)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// majorityHeard returns the time as of which n has gossip from more than half of
// the nodes.
func (m *simulation) majorityHeard(n *node) time.Time {
	if n.Ready() || m.mutation == gossipBeforeRead {
		n.heardAt[n.name] = m.clock.Now()
	}
	var times []time.Time
	for i := range simulatedRouters {
		times = append(times, n.heardAt[nodeName(i)])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if m.mutation == freshFromOnePeer {
		return times[1]
	}
	return times[simulatedRouters/2]
}

func (m *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, simulatedRouters-1).Draw(t, "node")
	m.restartNode(i)
}

// restartNode restarts node i with empty memory.
func (m *simulation) restartNode(i int) {
	old := m.nodes[i]
	m.nodes[i] = m.start(i)
	m.nodes[i].side, m.nodes[i].logUnreachable = old.side, old.logUnreachable
}

func (m *simulation) fault(t *rapid.T) {
	name := rapid.SampledFrom([]fault.Name{fault.Outage, fault.LostReply}).Draw(t, "fault")
	times := rapid.SampledFrom([]int{1, 2, 30}).Draw(t, "times")
	if name == fault.LostReply {
		times = 1
	}
	m.injectFault(name, times)
}

func (m *simulation) injectFault(name fault.Name, times int) {
	if err := m.log.Faults().On(fault.Fault{Name: name, Count: times}); err != nil {
		m.t.Fatalf("%v", err)
	}
}

func (m *simulation) wait(t *rapid.T) {
	waits := []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, freshnessWindow}
	m.clock.Advance(rapid.SampledFrom(waits).Draw(t, "time"))
}

// check checks the guarantees about the configuration: versions never revert, a
// node's state is that of the log, and a node accepts work only under a version
// that was in force within the freshness window.
func (m *simulation) check() {
	now := m.clock.Now()
	for _, n := range m.nodes {
		version := n.Version()
		if version < n.version {
			m.t.Fatalf("%s went from version %d back to %d", n.name, n.version, version)
		}
		n.version = version
		m.checkAgrees(m.t, n)
		if !n.Fresh(now) {
			continue
		}
		for accepted, at := range m.accepted {
			if now.Sub(at) > freshnessWindow && version < accepted {
				m.t.Fatalf("%s accepts work under version %d, %v after version %d was accepted", n.name, version, now.Sub(at), accepted)
			}
		}
	}
	if total := m.checker.Total(); total > 0 {
		m.t.Fatalf("%v", m.checker.Violations())
	}
}

// checkAgrees checks that the state of a node is that of the log up to its
// offset.
func (m *simulation) checkAgrees(t rapid.TB, n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fold == nil || n.checked == n.fold.Next() {
		return
	}
	n.checked = n.fold.Next()
	want := checkpointOf(t, m.reference())
	if int(n.checked) <= len(m.referenceStates) {
		want = m.referenceStates[n.checked-1]
	}
	if got := checkpointOf(t, n.fold); got != want {
		t.Fatalf("%s has state %s, the log gives %s", n.name, got, want)
	}
}

func runSimulation(t *rapid.T, variant mutation) {
	m := newSimulation(t, variant)
	m.tick()
	m.submit(t)
	m.tick()
	t.Repeat(m.actions())
}

func TestConfigurationNeverRevertsAndIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, noMutation) })
}

// failureRecorder stands in for a test that is expected to fail and records the
// failure.
type failureRecorder struct {
	*testing.T
	failed bool
	text   string
}

func (v *failureRecorder) Errorf(string, ...any) { v.failed = true }
func (v *failureRecorder) Error(...any)          { v.failed = true }
func (v *failureRecorder) Fatalf(format string, args ...any) {
	v.failed = true
	v.text = fmt.Sprintf(format, args...)
}

func (v *failureRecorder) Fatal(...any)        { v.failed = true }
func (v *failureRecorder) Fail()               { v.failed = true }
func (v *failureRecorder) FailNow()            { v.failed = true }
func (v *failureRecorder) Logf(string, ...any) {}
func (v *failureRecorder) Log(...any)          {}

// script is a sequence of events in which a disabled mechanism violates a
// guarantee.
type script struct {
	name     string
	mutation mutation
	run      func(m *simulation)
}

// submitWithAccess submits a change at e0 while the given nodes can reach the
// log and the others are partitioned from them and from the log.
func (m *simulation) submitWithAccess(with ...int) {
	for i, n := range m.nodes {
		n.side, n.logUnreachable = 1, true
		if slices.Contains(with, i) {
			n.side, n.logUnreachable = 0, false
		}
	}
	m.begin(m.nodes[0], Change{Op: OpPush, Config: testConfig("new"), Base: m.nodes[0].Version()})
	m.ticks(4)
}

func (m *simulation) ticks(n int) {
	for range n {
		m.tick()
	}
}

func scripts() []script {
	return []script{
		{"accept without majority", acceptWithoutMajority, func(m *simulation) {
			m.submitWithAccess(0)
			m.ticks(20)
		}},
		{"fresh from one peer", freshFromOnePeer, func(m *simulation) {
			m.submitWithAccess(0, 1, 2)
			m.ticks(20)
		}},
		{"gossip before read", gossipBeforeRead, func(m *simulation) {
			m.submitWithAccess(0, 1, 2)
			for i, n := range m.nodes {
				n.logUnreachable = true
				if i == 1 || i == 2 {
					m.restartNode(i)
					m.nodes[i].side = 1
				}
			}
			m.ticks(20)
		}},
		{"treat lost reply as refusal", treatLostReplyAsRefusal, func(m *simulation) {
			m.injectFault(fault.LostReply, 1)
			m.begin(m.nodes[0], Change{Op: OpPush, Config: testConfig("new"), Base: m.nodes[0].Version()})
			m.step()
			m.nodes[0].logUnreachable = true
			for _, n := range m.nodes {
				n.side = 1
			}
			m.nodes[0].side = 0
			m.ticks(20)
		}},
	}
}

// TestDisabledConfigMechanismsAreDetected checks that the checks fail in each
// script while its mechanism is disabled and pass while it is enabled.
func TestDisabledConfigMechanismsAreDetected(t *testing.T) {
	for _, s := range scripts() {
		for _, variant := range []mutation{noMutation, s.mutation} {
			t.Run(fmt.Sprintf("%s %v", s.name, variant != noMutation), func(t *testing.T) {
				v := &failureRecorder{T: t}
				m := newSimulation(v, variant)
				m.tick()
				m.begin(m.nodes[0], Change{Op: OpPush, Config: testConfig("first")})
				m.ticks(8)
				qt.Assert(t, m.accepted, qt.HasLen, 1)
				s.run(m)
				qt.Check(t, v.failed, qt.Equals, variant != noMutation, qt.Commentf("%s", v.text))
			})
		}
	}
}
