package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// Outgoing is a message to be sent to a peer.
type Outgoing struct {
	To      Member
	Message *peerpb.Gossip
}

// Binding is the view that a router is on and the earlier view, if any, that
// its last promise still binds it to.
type Binding struct {
	View ViewID
	Prev ViewID // 0: bound to View alone
}

// peer is what the table knows of one other router.
type peer struct {
	Member
	incarnation uint32
	heard       time.Time // estimated time of its last known message
	stance      Binding   // in that message
	steadySince time.Time // it was heard without a gap since
	flaps       int       // recent deaths
	flapAt      time.Time

	listed      bool
	wasListed   bool
	listedSince time.Time
	knownUntil  time.Time // it counts as known until, once unlisted and silent
	dropped     bool      // it no longer counts as known

	clockBoot   uint64        // process that clockOffset is for
	clockOffset time.Duration // smallest difference of our clock and its uptime
	clockAt     time.Time     // when clockOffset was last adjusted
	stanceSince time.Time     // first heard in stance without a break
}

// Table is the membership state of one router. It does no I/O: the caller
// passes the time and the messages in and sends what is returned. It is safe
// for concurrent use; one mutex guards all fields, and no other lock is taken
// while it is held.
type Table struct {
	cfg  Config
	base time.Time // zero of the uptime in messages

	mu          lock.Mutex[lock.MemberTable]
	rng         *rand.Rand
	self        Member
	incarnation uint32
	selfListed  time.Time // listed since; zero: not listed
	listedAt    time.Time // when the list was last read
	start       time.Time // first call with a time
	lastTick    time.Time
	awake       time.Time // start or end of the last pause
	lastCall    time.Time // last Tick or Receive
	callBefore  time.Time // the one before, at another time
	stalledFrom time.Time // begin and end of the last time without a call
	stalledTo   time.Time
	mustHear    bool // paused; waits for a majority before it decides
	ticks       uint64

	peers map[string]*peer
	names []string // sorted keys of peers

	view   *View // nil until the first view
	prev   *View // view before; nil if there was none
	since  time.Time
	wanted ViewID // candidate for the next view
	wantAt time.Time

	known     viewStore
	news      news
	shares    *Bindings // cached by Shares
	sharesAt  time.Time
	fullsLeft int // full member tables that may still be sent this tick
}

// New returns the table of the router self. Calls must pass times that do not
// go back. Boot of self must be unique per process start and not 0.
func New(self Member, cfg Config, rng *rand.Rand) *Table {
	return &Table{
		cfg:         cfg,
		rng:         rng,
		self:        self,
		incarnation: 1,
		peers:       make(map[string]*peer),
		known:       newViewStore(),
	}
}

// begin notes the first time that the table is used.
func (t *Table) begin(now time.Time) {
	if t.start.IsZero() {
		t.start = now
		t.awake = now
		t.base = now
		t.callBefore = now
	}
}

// SetHostList replaces what the platform's list says. During an outage of the
// list it is not called, and the last list stays in force. Hosts of other
// regions are ignored.
func (t *Table) SetHostList(now time.Time, listed []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(now)
	since := now
	if t.listedAt.IsZero() {
		// Hosts that were listed before this process are known to all. New
		// ones make no promise before they are.
		since = now.Add(-t.cfg.JoinGrace)
	}
	t.listedAt = now
	present := make(map[string]bool, len(listed))
	for i := range listed {
		m := &listed[i]
		if m.Region != t.self.Region {
			continue
		}
		present[m.Name] = true
		if m.Name == t.self.Name {
			t.listSelf(since, m)
			continue
		}
		t.list(since, m)
	}
	if !present[t.self.Name] {
		t.selfListed = time.Time{}
	}
	for _, name := range t.names {
		p := t.peers[name]
		if p.listed && !present[name] {
			p.listed = false
			p.knownUntil = now.Add(t.cfg.ForgetAfter)
		}
	}
	t.shares = nil
}

func (t *Table) listSelf(since time.Time, m *Member) {
	if t.selfListed.IsZero() {
		t.selfListed = since
	}
	if m.Draining && !t.self.Draining {
		t.self.Draining = true
		t.incarnation++
	}
}

func (t *Table) list(since time.Time, m *Member) {
	p := t.peers[m.Name]
	if p == nil {
		p = t.add(*m)
		p.Incarnation = 0 // the list does not know processes
	}
	if !p.listed {
		p.listed = true
		p.wasListed = true
		p.dropped = false
		p.listedSince = since
	}
	p.Peer, p.Caller, p.Zone = m.Peer, m.Caller, m.Zone
	if m.Draining {
		p.Draining = true
	}
}

// add enters a new peer.
func (t *Table) add(m Member) *peer {
	p := &peer{Member: m}
	t.peers[m.Name] = p
	i := sort.SearchStrings(t.names, m.Name)
	t.names = slices.Insert(t.names, i, m.Name)
	return p
}

// SetDraining says whether this router itself is leaving. A leaving router is
// in no view and holds no duties.
func (t *Table) SetDraining(now time.Time, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(now)
	if t.self.Draining != leaving {
		t.self.Draining = leaving
		t.incarnation++
	}
}

// Tick is called once per Config.Tick. It updates the view and returns the
// messages to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(now)
	t.noticeStall(now)
	t.noticePause(now)
	t.ticks++
	t.fullsLeft = 1
	t.updateView(now)
	t.dropUnlisted(now)
	t.forget(now)
	t.shares = nil
	targets := t.targets(now)
	if len(targets) == 0 {
		return nil
	}
	message := t.message(now)
	out := make([]Outgoing, 0, len(targets))
	for _, p := range targets {
		out = append(out, Outgoing{To: p.Member, Message: message})
	}
	return out
}

// noticePause compares the clock with the last tick. A paused router waits
// for a majority before it decides as owner, and gives the others time to be
// heard before it declares them dead.
func (t *Table) noticePause(now time.Time) {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseTicks*t.cfg.Tick
	t.lastTick = now
	if paused {
		t.awake = now
		t.mustHear = true
	}
	if t.mustHear && t.heardMajority(now) < now.Sub(t.awake) {
		t.mustHear = false
	}
}

// targets picks the peers to gossip to: random live ones and, now and then, one
// that seems dead, so that islands find each other again.
func (t *Table) targets(now time.Time) []*peer {
	var live, silent []*peer
	for _, name := range t.names {
		p := t.peers[name]
		switch {
		case !p.Peer.IsValid():
		case t.alive(p, now):
			live = append(live, p)
		case t.isKnown(p, now):
			silent = append(silent, p)
		}
	}
	fanout := t.cfg.Fanout
	if t.view == nil || now.Sub(t.since) < deltaTicks*t.cfg.Tick/ageUnitsPerTick {
		fanout = t.cfg.StartFanout
	}
	targets := t.pick(live, fanout)
	if t.view == nil || t.ticks%probeEvery == 0 {
		targets = append(targets, t.pick(silent, fanout)...)
	}
	return targets
}

// pick returns up to n different random peers.
func (t *Table) pick(from []*peer, n int) []*peer {
	n = min(n, len(from))
	for i := range n {
		j := i + t.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n:n]
}

// dropUnlisted ends the time for which hosts that left the list count as known.
// A router that hears no majority keeps them: they may be a majority that the
// list cannot see.
func (t *Table) dropUnlisted(now time.Time) {
	if t.heardMajority(now) > t.deadAfter() {
		return
	}
	for _, name := range t.names {
		p := t.peers[name]
		if !p.listed && !now.Before(p.knownUntil) {
			p.dropped = true
		}
	}
}

// forget drops peers that are neither listed nor heard any more.
func (t *Table) forget(now time.Time) {
	t.names = slices.DeleteFunc(t.names, func(name string) bool {
		p := t.peers[name]
		gone := (p.dropped || !p.wasListed) && !t.isKnown(p, now) && now.Sub(p.heard) > t.cfg.ForgetAfter
		if gone {
			delete(t.peers, name)
		}
		return gone
	})
}
