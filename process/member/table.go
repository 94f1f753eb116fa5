package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// Outgoing is a message to send to a peer.
type Outgoing struct {
	To      Member
	Message *peerpb.Gossip
}

// Binding is the view that a router is on and the earlier view, if any, that it is
// still bound to.
type Binding struct {
	View ViewID
	Prev ViewID // 0: bound to View alone
}

// peer is the state of one other router.
type peer struct {
	Member
	attributeVersion uint32    // of zone, addresses and draining; "incarnation" on the wire
	lastSeen         time.Time // estimated time of its latest known message
	binding          Binding   // under which that message was sent
	aliveSince       time.Time // since when it has been alive without a gap
	deaths           int       // recent deaths as of lastDeathAt
	lastDeathAt      time.Time

	listed      bool
	everListed  bool
	listedSince time.Time
	knownUntil  time.Time // when unlisted, it may be dropped from this time on
	dropped     bool      // having been listed no longer makes it known

	clockIncarnation uint64        // process that clockOffset belongs to
	clockOffset      time.Duration // smallest observed local uptime minus the uptime in its message
	clockAt          time.Time     // when clockOffset was last adjusted
	bindingSince     time.Time     // since when it has been seen under binding without a gap
}

// Table is the membership state of one router. It does no I/O: the caller passes
// in the time and the messages, and sends the messages that are returned. It is
// safe for concurrent use; one mutex guards all fields, and no other lock is taken
// while it is held.
type Table struct {
	cfg  Config
	base time.Time // start of the uptime in messages; the same as start

	mu               lock.Mutex[lock.MemberTable]
	rng              *rand.Rand
	self             Member
	attributeVersion uint32    // of zone, addresses and draining; "incarnation" on the wire
	selfListedSince  time.Time // since when it is listed; zero: not listed
	listedAt         time.Time // when the list was last read
	start            time.Time // first call with a time
	lastTick         time.Time
	resumedAt        time.Time // start of the process or end of the last pause
	lastCall         time.Time // last Tick or HandleGossip
	previousCall     time.Time // last call at an earlier time than lastCall; see sentAt
	stalledFrom      time.Time // start and end of the last stall
	stalledTo        time.Time
	awaitMajority    bool // set after a pause until a majority is reachable
	ticks            uint64

	peers map[string]*peer
	names []string // sorted keys of peers

	view           *View // nil until the first view
	prev           *View // previous view; nil if there was none
	viewSince      time.Time
	candidateView  ViewID // view to which updateView may switch
	candidateSince time.Time

	viewStore      viewStore
	configGossip   relayedConfig
	bindings       *Bindings // cached by Bindings
	bindingsAt     time.Time
	fullStatesLeft int // full states that may still be sent in this tick
}

// New returns the Table of the router self. The times passed to its methods must
// not decrease. Incarnation of self must be unique per process start and not 0.
func New(self Member, cfg Config, rng *rand.Rand) *Table {
	return &Table{
		cfg:              cfg,
		rng:              rng,
		self:             self,
		attributeVersion: 1,
		peers:            make(map[string]*peer),
		viewStore:        newViewStore(),
	}
}

// initTimes sets the start times at the first use of the table.
func (t *Table) initTimes(now time.Time) {
	if t.start.IsZero() {
		t.start = now
		t.resumedAt = now
		t.base = now
		t.previousCall = now
	}
}

// SetHostList replaces the platform's list of hosts. It must not be called during
// an outage of the list, so that the last list stays valid. Hosts of other regions
// are ignored.
func (t *Table) SetHostList(now time.Time, listed []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initTimes(now)
	since := now
	if t.listedAt.IsZero() {
		// Hosts in the first list are taken to be known to all routers. A host
		// that is in fact new announces no binding before all routers know it.
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
			t.updateSelfListing(since, m)
			continue
		}
		t.updateListing(since, m)
	}
	if !present[t.self.Name] {
		t.selfListedSince = time.Time{}
	}
	for _, name := range t.names {
		p := t.peers[name]
		if p.listed && !present[name] {
			p.listed = false
			p.knownUntil = now.Add(t.cfg.ForgetAfter)
		}
	}
	t.bindings = nil
}

func (t *Table) updateSelfListing(since time.Time, m *Member) {
	if t.selfListedSince.IsZero() {
		t.selfListedSince = since
	}
	if m.Draining && !t.self.Draining {
		t.self.Draining = true
		t.attributeVersion++
	}
}

func (t *Table) updateListing(since time.Time, m *Member) {
	p := t.peers[m.Name]
	if p == nil {
		p = t.add(*m)
		p.Incarnation = 0 // the list does not contain processes
	}
	if !p.listed {
		p.listed = true
		p.everListed = true
		p.dropped = false
		p.listedSince = since
	}
	p.Peer, p.Caller, p.Zone = m.Peer, m.Caller, m.Zone
	if m.Draining {
		p.Draining = true
	}
}

func (t *Table) add(m Member) *peer {
	p := &peer{Member: m}
	t.peers[m.Name] = p
	i := sort.SearchStrings(t.names, m.Name)
	t.names = slices.Insert(t.names, i, m.Name)
	return p
}

// SetDraining sets whether this router is draining. A draining router is in no
// view and has no duties.
func (t *Table) SetDraining(now time.Time, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initTimes(now)
	if t.self.Draining != draining {
		t.self.Draining = draining
		t.attributeVersion++
	}
}

// Tick must be called once per Config.Tick. It updates the view and returns the
// messages to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initTimes(now)
	t.detectStall(now)
	t.detectPause(now)
	t.ticks++
	t.fullStatesLeft = 1
	t.updateView(now)
	t.dropUnlisted(now)
	t.forget(now)
	t.bindings = nil
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

// detectPause compares the clock with the last tick. After a pause, the router
// waits for a majority before it acts as an owner, and does not declare peers dead
// before their next messages can have arrived.
func (t *Table) detectPause(now time.Time) {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseTicks*t.cfg.Tick
	t.lastTick = now
	if paused {
		t.resumedAt = now
		t.awaitMajority = true
	}
	if t.awaitMajority && t.countedMajorityAge(now) < now.Sub(t.resumedAt) {
		t.awaitMajority = false
	}
}

// targets selects the peers that get gossip: random live ones and, every few
// ticks, ones that seem dead, so that partitions rejoin.
func (t *Table) targets(now time.Time) []*peer {
	var live, unreachable []*peer
	for _, name := range t.names {
		p := t.peers[name]
		switch {
		case !p.Peer.IsValid(): // its address is not known yet
		case t.alive(p, now):
			live = append(live, p)
		case t.isKnown(p, now):
			unreachable = append(unreachable, p)
		}
	}
	fanout := t.cfg.Fanout
	if t.view == nil || now.Sub(t.viewSince) < deltaTicks*t.cfg.Tick/ageUnitsPerTick {
		fanout = t.cfg.StartFanout
	}
	targets := t.pick(live, fanout)
	if t.view == nil || t.ticks%probeEvery == 0 {
		targets = append(targets, t.pick(unreachable, fanout)...)
	}
	return targets
}

// pick returns up to n distinct random peers. It reorders from.
func (t *Table) pick(from []*peer, n int) []*peer {
	n = min(n, len(from))
	for i := range n {
		j := i + t.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n:n]
}

// dropUnlisted ends the time for which hosts that left the list count as known. A
// router that reaches no majority keeps them: its list may lack routers that run and
// are the majority.
func (t *Table) dropUnlisted(now time.Time) {
	if t.countedMajorityAge(now) > t.deadAfter() {
		return
	}
	for _, name := range t.names {
		p := t.peers[name]
		if !p.listed && !now.Before(p.knownUntil) {
			p.dropped = true
		}
	}
}

// forget removes peers that are no longer known and were not seen for ForgetAfter.
func (t *Table) forget(now time.Time) {
	t.names = slices.DeleteFunc(t.names, func(name string) bool {
		p := t.peers[name]
		gone := (p.dropped || !p.everListed) && !t.isKnown(p, now) && now.Sub(p.lastSeen) > t.cfg.ForgetAfter
		if gone {
			delete(t.peers, name)
		}
		return gone
	})
}
