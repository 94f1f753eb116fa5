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

// sabotage breaks one mechanism on purpose.
type sabotage int

const (
	nothingBroken    sabotage = iota
	acceptAlone               // a change is accepted before a majority has it
	freshByAnyPeer            // hearing one peer counts as hearing a majority
	vouchUnread               // a restarted router vouches for what it has not read
	trustLostReplies          // an append without reply counts as refused
)

const (
	machineRouters = 5
	machineWindow  = 5 * time.Second
)

// node is one router of the model.
type node struct {
	*Follower
	name    string
	side    int  // of a partition between routers
	noLog   bool // cannot reach the log
	heard   map[string]time.Time
	logRead time.Time // newest read of the log's end heard of
	subs    []*submission
	version config.Version
	checked platformclient.Offset
}

type submission struct {
	*Submission
	change Change
}

// machine runs several routers on one log.
type machine struct {
	t        rapid.TB
	broken   sabotage
	clock    *clockwork.FakeClock
	log      *logstore.Memory
	rand     *rand.Rand
	checker  *invariant.Checker
	nodes    []*node
	accepted map[config.Version]time.Time
	changes  int
	truth    *Fold    // of all records ever appended
	truths   []string // truth before each offset, as JSON; from offset 1 on
}

// reach is the log or the peers as one node sees them.
type reach struct {
	m    *machine
	self string
}

var errIsland = errors.New("cut off")

func (r reach) Append(ctx context.Context, stream string, records [][]byte) (platformclient.Offset, error) {
	if r.m.node(r.self).noLog {
		return 0, &platformclient.AppendError{Cause: errIsland}
	}
	offset, err := r.m.log.Append(ctx, stream, records)
	r.m.clock.Advance(time.Millisecond)
	if r.m.broken == trustLostReplies && err != nil {
		err = &platformclient.AppendError{Cause: err}
	}
	return offset, err
}

func (r reach) Read(ctx context.Context, stream string, from platformclient.Offset, limit int, _ time.Duration) (platformclient.Page, error) {
	if r.m.node(r.self).noLog {
		return platformclient.Page{}, errIsland
	}
	return r.m.log.Read(ctx, stream, from, limit, 0)
}

func (r reach) Members() ([]Member, bool) {
	var members []Member
	for i := range machineRouters {
		if name := nodeName(i); name != r.self {
			members = append(members, Member{Name: name, Region: "r"})
		}
	}
	return members, true
}

func (r reach) Pull(_ context.Context, member string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	if r.m.node(r.self).side != r.m.node(member).side {
		return nil, errIsland
	}
	return r.m.node(member).ServePage(from), nil
}

func nodeName(i int) string { return fmt.Sprintf("e%d", i) }

func (m *machine) node(name string) *node {
	i := slices.IndexFunc(m.nodes, func(n *node) bool { return n.name == name })
	return m.nodes[i]
}

func newMachine(t rapid.TB, broken sabotage) *machine {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).UTC())
	m := &machine{
		t: t, broken: broken, clock: clock, rand: rand.New(rand.NewPCG(1, 1)),
		log:      logstore.NewMemory(logstore.Options{Clock: clock, KeepRecords: 12}),
		checker:  invariant.New(logr.Discard()),
		accepted: make(map[config.Version]time.Time),
		truth:    NewFold(),
	}
	for i := range machineRouters {
		m.nodes = append(m.nodes, m.start(i))
	}
	return m
}

func (m *machine) start(i int) *node {
	name := nodeName(i)
	n := &node{name: name, heard: make(map[string]time.Time)}
	n.Follower = NewFollower(Options{
		Self: Member{Name: name, Region: "r"}, Log: reach{m, name}, Peers: reach{m, name},
		Clock: m.clock, Rand: rand.New(rand.NewPCG(uint64(i), 7)), Checker: m.checker, Logger: logr.Discard(),
		Fresh: machineWindow, CheckpointAfter: 4, CheckpointEvery: time.Minute,
	})
	return n
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  m.submit,
		"step":    func(*rapid.T) { m.step() },
		"poll":    func(t *rapid.T) { m.poll(m.any(t)) },
		"tick":    func(*rapid.T) { m.tick() },
		"work":    func(*rapid.T) { m.tick() },
		"run":     func(*rapid.T) { m.ticks(3) },
		"pull":    func(t *rapid.T) { m.any(t).PullPeer(context.Background()) },
		"cut":     m.cut,
		"heal":    m.heal,
		"noLog":   func(t *rapid.T) { n := m.any(t); n.noLog = !n.noLog },
		"restart": m.restart,
		"fault":   m.fault,
		"wait":    m.wait,
		"":        func(*rapid.T) { m.check() },
	}
}

func (m *machine) any(t *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, machineRouters-1).Draw(t, "node")]
}

func (m *machine) poll(n *node) {
	ctx := context.Background()
	if err := n.Poll(ctx, 0); err != nil && !n.Ready() {
		n.BootstrapFromPeers(ctx)
	}
	m.clock.Advance(time.Millisecond)
	n.AppendCheckpoint(ctx)
}

// tick lets every node read, gossip with two others, and pull what is newer.
func (m *machine) tick() {
	for i, n := range m.nodes {
		m.poll(n)
		for range 2 {
			m.gossip(n, m.nodes[(i+1+m.rand.IntN(machineRouters-1))%machineRouters])
		}
		if status := n.Status(); status.KnownEnd > status.Next {
			n.PullPeer(context.Background())
		}
	}
	m.step()
	m.clock.Advance(500 * time.Millisecond)
	m.check()
}

// cut parts the routers in two.
func (m *machine) cut(t *rapid.T) {
	for _, n := range m.nodes {
		n.side = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

func (m *machine) heal(*rapid.T) {
	for _, n := range m.nodes {
		n.side = 0
		n.noLog = false
	}
}

// submit starts a change that is based on what the node knows.
func (m *machine) submit(t *rapid.T) {
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

func (m *machine) begin(n *node, c Change) {
	if c.ID == "" {
		c.ID = fmt.Sprintf("s%d", m.rand.IntN(1<<30))
	}
	s, err := n.BeginSubmission(c)
	if err != nil {
		return
	}
	if m.broken == acceptAlone {
		for i := range machineRouters {
			s.held[nodeName(i)] = true
		}
	}
	n.subs = append(n.subs, &submission{Submission: s, change: c})
}

// step moves all submissions on and checks what the operators are told.
func (m *machine) step() {
	for _, n := range m.nodes {
		kept := n.subs[:0]
		for _, s := range n.subs {
			s.Step(context.Background())
			if s.Done() {
				m.told(s)
				continue
			}
			kept = append(kept, s)
		}
		n.subs = kept
	}
}

// told checks the answer to an operator against the log.
func (m *machine) told(s *submission) {
	verdict, err := s.Result()
	truth, inLog := m.reference().Verdict(s.change.ID)
	if refusal, ok := outcome.AsRefusal(err); ok {
		if refusal.Code == outcome.LogUnavailable && inLog && truth.Verdict.Accepted {
			m.t.Fatalf("change %s was refused, but is in force as version %d", s.change.ID, truth.Verdict.Version)
		}
		return
	}
	if !inLog || truth.Verdict.Accepted != verdict.Accepted {
		m.t.Fatalf("change %s was judged %+v, the log says %+v", s.change.ID, verdict, truth.Verdict)
	}
	if _, known := m.accepted[verdict.Version]; verdict.Accepted && !known {
		m.accepted[verdict.Version] = m.clock.Now()
	}
}

// reference folds all records that were ever appended.
func (m *machine) reference() *Fold {
	for _, r := range m.log.All(platformclient.StreamConfig)[m.truth.Next()-1:] {
		m.truths = append(m.truths, checkpointOf(m.t, m.truth))
		if _, err := m.truth.Apply(r); err != nil {
			m.t.Fatalf("%v", err)
		}
	}
	return m.truth
}

func checkpointOf(t rapid.TB, f *Fold) string {
	data, err := json.Marshal(f.Checkpoint())
	if err != nil {
		t.Fatalf("%v", err)
	}
	return string(data)
}

// gossip sends what one node knows to another.
func (m *machine) gossip(from, to *node) {
	if from.side != to.side || !from.Ready() && m.broken != vouchUnread {
		return
	}
	now := m.clock.Now()
	from.heard[from.name] = now
	for name, at := range from.heard {
		if at.After(to.heard[name]) {
			to.heard[name] = at
		}
	}
	status := from.Status()
	from.logRead = later(from.logRead, status.LogReadAt)
	to.logRead = later(to.logRead, from.logRead)
	to.ObserveGossip(GossipUpdate{End: status.KnownEnd, LogReadAt: to.logRead, MajorityHeardAt: m.majorityHeard(to)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// majorityHeard returns since when n has news of more than half of the nodes.
func (m *machine) majorityHeard(n *node) time.Time {
	if n.Ready() || m.broken == vouchUnread {
		n.heard[n.name] = m.clock.Now()
	}
	var times []time.Time
	for i := range machineRouters {
		times = append(times, n.heard[nodeName(i)])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if m.broken == freshByAnyPeer {
		return times[1]
	}
	return times[machineRouters/2]
}

func (m *machine) restart(t *rapid.T) {
	i := rapid.IntRange(0, machineRouters-1).Draw(t, "node")
	m.replace(i)
}

// replace starts node i anew, with nothing in memory.
func (m *machine) replace(i int) {
	old := m.nodes[i]
	m.nodes[i] = m.start(i)
	m.nodes[i].side, m.nodes[i].noLog = old.side, old.noLog
}

func (m *machine) fault(t *rapid.T) {
	name := rapid.SampledFrom([]fault.Name{fault.Outage, fault.LostReply}).Draw(t, "fault")
	times := rapid.SampledFrom([]int{1, 2, 30}).Draw(t, "times")
	if name == fault.LostReply {
		times = 1
	}
	m.lose(name, times)
}

func (m *machine) lose(name fault.Name, times int) {
	if err := m.log.Faults().On(fault.Fault{Name: name, Count: times}); err != nil {
		m.t.Fatalf("%v", err)
	}
}

func (m *machine) wait(t *rapid.T) {
	waits := []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, machineWindow}
	m.clock.Advance(rapid.SampledFrom(waits).Draw(t, "time"))
}

// check checks the promises about the configuration.
func (m *machine) check() {
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
			if now.Sub(at) > machineWindow && version < accepted {
				m.t.Fatalf("%s takes work under version %d, %v after version %d was accepted", n.name, version, now.Sub(at), accepted)
			}
		}
	}
	if total := m.checker.Total(); total > 0 {
		m.t.Fatalf("%v", m.checker.Violations())
	}
}

// checkAgrees checks that a node's fold is the log's prefix up to its offset.
func (m *machine) checkAgrees(t rapid.TB, n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fold == nil || n.checked == n.fold.Next() {
		return
	}
	n.checked = n.fold.Next()
	want := checkpointOf(t, m.reference())
	if int(n.checked) <= len(m.truths) {
		want = m.truths[n.checked-1]
	}
	if got := checkpointOf(t, n.fold); got != want {
		t.Fatalf("%s folded to %s, the log says %s", n.name, got, want)
	}
}

func runMachine(t *rapid.T, broken sabotage) {
	m := newMachine(t, broken)
	m.tick()
	m.submit(t)
	m.tick()
	t.Repeat(m.actions())
}

func TestConfigurationNeverRevertsAndIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runMachine(t, nothingBroken) })
}

// verdictOf takes the place of a test that is to fail.
type verdictOf struct {
	*testing.T
	failed bool
	text   string
}

func (v *verdictOf) Errorf(string, ...any) { v.failed = true }
func (v *verdictOf) Error(...any)          { v.failed = true }
func (v *verdictOf) Fatalf(format string, args ...any) {
	v.failed = true
	v.text = fmt.Sprintf(format, args...)
}

func (v *verdictOf) Fatal(...any)        { v.failed = true }
func (v *verdictOf) Fail()               { v.failed = true }
func (v *verdictOf) FailNow()            { v.failed = true }
func (v *verdictOf) Logf(string, ...any) {}
func (v *verdictOf) Log(...any)          {}

// script is a history in which a broken mechanism breaks a promise.
type script struct {
	name   string
	broken sabotage
	run    func(m *machine)
}

// acceptOn lets e0 submit a change while the nodes with the given numbers are
// on one side with the log, and the others on the other side without it.
func (m *machine) acceptOn(with ...int) {
	for i, n := range m.nodes {
		n.side, n.noLog = 1, true
		if slices.Contains(with, i) {
			n.side, n.noLog = 0, false
		}
	}
	m.begin(m.nodes[0], Change{Op: OpPush, Config: testConfig("new"), Base: m.nodes[0].Version()})
	m.ticks(4)
}

func (m *machine) ticks(n int) {
	for range n {
		m.tick()
	}
}

func scripts() []script {
	return []script{
		{"accept alone", acceptAlone, func(m *machine) {
			m.acceptOn(0)
			m.ticks(20)
		}},
		{"fresh by any peer", freshByAnyPeer, func(m *machine) {
			m.acceptOn(0, 1, 2)
			m.ticks(20)
		}},
		{"vouch unread", vouchUnread, func(m *machine) {
			m.acceptOn(0, 1, 2)
			for i, n := range m.nodes {
				n.noLog = true
				if i == 1 || i == 2 {
					m.replace(i)
					m.nodes[i].side = 1
				}
			}
			m.ticks(20)
		}},
		{"trust lost replies", trustLostReplies, func(m *machine) {
			m.lose(fault.LostReply, 1)
			m.begin(m.nodes[0], Change{Op: OpPush, Config: testConfig("new"), Base: m.nodes[0].Version()})
			m.step()
			m.nodes[0].noLog = true
			for _, n := range m.nodes {
				n.side = 1
			}
			m.nodes[0].side = 0
			m.ticks(20)
		}},
	}
}

// TestBrokenConfigMechanismsAreFound shows that the checks fail in each script
// with the mechanism broken, and pass with it whole.
func TestBrokenConfigMechanismsAreFound(t *testing.T) {
	for _, s := range scripts() {
		for _, broken := range []sabotage{nothingBroken, s.broken} {
			t.Run(fmt.Sprintf("%s %v", s.name, broken != nothingBroken), func(t *testing.T) {
				v := &verdictOf{T: t}
				m := newMachine(v, broken)
				m.tick()
				m.begin(m.nodes[0], Change{Op: OpPush, Config: testConfig("first")})
				m.ticks(8)
				qt.Assert(t, m.accepted, qt.HasLen, 1)
				s.run(m)
				qt.Check(t, v.failed, qt.Equals, broken != nothingBroken, qt.Commentf("%s", v.text))
			})
		}
	}
}
