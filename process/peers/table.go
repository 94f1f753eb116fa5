package peers

import (
	"math"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/feed"
	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/process/rollout"
	"github.com/stoatmount/stoatmount/process/upstream"
)

// Heartbeat is what a router periodically sends to the others.
type Heartbeat struct {
	Name           string                         `json:"name"`
	Incarnation    int64                          `json:"boot"` // start of the process, Unix time in ns
	Number         int64                          `json:"n"`    // increases with each heartbeat of a process
	Front          string                         `json:"front"`
	Zone           string                         `json:"zone"`
	Ready          bool                           `json:"ready"`
	Running        map[string]float64             `json:"running,omitempty"`           // requests by endpoint, smoothed
	Placements     []Placement                    `json:"placed,omitempty"`            // new since the previous heartbeats
	Draining       bool                           `json:"leaving,omitempty"`           // the process is shutting down
	StoreReachable bool                           `json:"store"`                       // it reaches the platform's store
	Offsets        []int64                        `json:"offsets,omitempty"`           // next offset to read, by topic
	Eras           []int64                        `json:"eras,omitempty"`              // of the store, by topic
	Config         int64                          `json:"config,omitempty"`            // version of the configuration in force
	Begun          []origins.Begun                `json:"begun,omitempty"`             // streams begun since the previous heartbeats
	Leaving        []upstream.Incarnation         `json:"endpoints_leaving,omitempty"` // announced by endpoints since the previous heartbeats
	SavesStreams   bool                           `json:"saves_streams,omitempty"`     // its build saves the begun streams of all routers
	Removals       []upstream.Removal             `json:"removals,omitempty"`          // read from the store without a gap, by its readers
	Crashes        []quarantine.Report            `json:"crashes,omitempty"`           // bodies and parts of prompts that crashed endpoints
	Parts          quarantine.Evidence            `json:"parts,omitzero"`              // recent runs that were lost and completed
	Lost           []string                       `json:"lost,omitempty"`              // services whose endpoints this router does not reach
	Reached        map[string]int64               `json:"reached,omitempty"`           // ms since the last response of services that others do not reach
	Restrictions   []upstream.Restriction         `json:"restrictions,omitempty"`      // what endpoints said about the requests that they take, and own ones to these
	Reading        map[string]int64               `json:"reading,omitempty"`           // prompt tokens that wait to be read, by endpoint, smoothed; in hundreds
	Paces          map[string]upstream.PaceReport `json:"paces,omitempty"`             // reported by endpoints since the previous heartbeat
	Loads          []upstream.LoadReport          `json:"loads,omitempty"`             // reported by endpoints since the previous heartbeat
	Demand         map[string]int                 `json:"demand,omitempty"`            // for services with such endpoints, in tenths of a request a second
	Rollouts       []rollout.Report               `json:"rollouts,omitempty"`          // of services that have one
	CPU            float64                        `json:"cpu,omitempty"`               // processor share of the host, while permits are in use; 0 is not told
}

// Relay carries records that one router read from the log for all routers.
type Relay struct {
	Topic int        `json:"topic"`
	Batch feed.Batch `json:"batch"`
}

// message is the content of one datagram.
type message struct {
	Heartbeat *Heartbeat      `json:"beat,omitempty"`
	Relay     *Relay          `json:"relay,omitempty"`
	Query     *OriginQuery    `json:"query,omitempty"`
	Reply     *originReply    `json:"reply,omitempty"`
	Begun     []origins.Begun `json:"begun,omitempty"` // to the router that saves streams, before the next heartbeat
	Saved     []origins.Key   `json:"saved,omitempty"` // to the router that sent Begun, once they are saved
	Permit
}

// Placement means that a request of a prompt key went to an endpoint, which now
// has cache entries for the key.
type Placement struct {
	Key      uint64 `json:"k"`
	Endpoint string `json:"e"`
}

// Registration is the address of a router as recorded in the store.
type Registration struct {
	Name string `json:"name"`
	Addr string `json:"addr"` // for heartbeats, UDP
}

// ReadyRouter is a router that takes requests.
type ReadyRouter struct{ Name, Front, Zone string }

// memberTTL is how long a router without heartbeats stays a member when limits are
// divided, since it may be partitioned from this one and still send requests.
const memberTTL = 10 * time.Minute

type peer struct {
	addr            string
	registeredAt    time.Time // last registration
	lastHeartbeatAt time.Time
	heartbeat       Heartbeat
	summed          bool // its requests are in Table.running
}

// Table holds the other routers. It is safe for concurrent use.
type Table struct {
	self      string
	mu        sync.Mutex
	peers     map[string]*peer
	names     []string         // of peers, sorted
	running   map[string]int64 // requests of the others by endpoint, in runningUnit
	reading   map[string]int64 // prompt tokens that wait for the others' requests, by endpoint
	deadAfter time.Duration
}

// New returns the empty table of router self. A router without a heartbeat for
// deadAfter is not named to callers.
func New(self string, deadAfter time.Duration) *Table {
	return &Table{self: self, peers: make(map[string]*peer), running: make(map[string]int64), reading: make(map[string]int64), deadAfter: deadAfter}
}

// SetDeadAfter sets the time without a heartbeat after which a router is not named.
func (t *Table) SetDeadAfter(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadAfter = d
}

// Register adds a router or updates its address.
func (t *Table) Register(now time.Time, r Registration) {
	if r.Name == t.self || r.Name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.getOrAdd(r.Name)
	p.addr, p.registeredAt = r.Addr, now
}

func (t *Table) getOrAdd(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	return p
}

// Last returns the last heartbeat of a router, and false if there is none.
func (t *Table) Last(name string) (Heartbeat, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	if p == nil || p.lastHeartbeatAt.IsZero() {
		return Heartbeat{}, false
	}
	return p.heartbeat, true
}

// RecordHeartbeat records a heartbeat received from addr and reports whether the
// router was unknown before. Outdated heartbeats are dropped.
func (t *Table) RecordHeartbeat(now time.Time, h Heartbeat, addr string) bool {
	if h.Name == t.self || h.Name == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[h.Name] != nil
	p := t.getOrAdd(h.Name)
	if h.outdated(&p.heartbeat, now.Sub(p.lastHeartbeatAt)) {
		return false
	}
	if p.summed {
		t.addRunning(p, -1)
	}
	p.heartbeat, p.lastHeartbeatAt, p.addr = h, now, addr
	t.addRunning(p, 1)
	return !known
}

// maxDatagramDelay is how long heartbeats of a process may still arrive after its end.
const maxDatagramDelay = time.Second

// outdated reports whether h is older than last, the heartbeat that was received
// sinceLast earlier. A host's clock may be set back between two processes, so an earlier
// start time means little once the process that sent last has become silent.
func (h *Heartbeat) outdated(last *Heartbeat, sinceLast time.Duration) bool {
	if h.Incarnation == last.Incarnation {
		return h.Number <= last.Number
	}
	return h.Incarnation < last.Incarnation && sinceLast < maxDatagramDelay
}

// CountReadersWithLowerName returns how many routers that reach the store have a lower name
// than this router. Those with the lowest names read the store for all, also before there is
// a configuration with which they could take requests. One that
// is not heard of is replaced long before it counts as dead, as others may depend on a
// record that it would read; an additional reader does no harm.
func (t *Table) CountReadersWithLowerName(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, lost := 0, t.lostAfter()
	for name, p := range t.peers {
		if name < t.self && p.heartbeat.StoreReachable && !p.heartbeat.Draining && now.Sub(p.lastHeartbeatAt) < lost {
			n++
		}
	}
	return n
}

// StreamSaver returns the address of the router that saves the begun streams of all, if that is
// another one than this router: the one with the lowest name of those that reach the store.
func (t *Table) StreamSaver(now time.Time) (addr string, other bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, lost := t.self, t.lostAfter()
	for name, p := range t.peers {
		if name < first && p.heartbeat.SavesStreams && p.heartbeat.StoreReachable && p.heartbeat.Ready && now.Sub(p.lastHeartbeatAt) < lost {
			first, addr = name, p.addr
		}
	}
	return addr, first != t.self
}

// Size returns the number of other routers that are known.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// Addresses returns the addresses to which heartbeats are sent.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		if p.addr != "" {
			list = append(list, p.addr)
		}
	}
	sort.Strings(list)
	return list
}

// Ready returns the other routers that take requests, by name.
func (t *Table) Ready(now time.Time) []ReadyRouter {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ReadyRouter
	for _, name := range t.names {
		if p := t.peers[name]; t.isReady(p, now) {
			list = append(list, ReadyRouter{Name: name, Front: p.heartbeat.Front, Zone: p.heartbeat.Zone})
		}
	}
	return list
}

// CountReady returns the number of routers in Ready.
func (t *Table) CountReady(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if t.isReady(p, now) {
			n++
		}
	}
	return n
}

// CountUnready returns the number of other routers that do not take requests though callers may have their
// addresses, which they keep for some time.
func (t *Table) CountUnready(now time.Time, kept time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if !t.isReady(p, now) && now.Sub(p.lastHeartbeatAt) < kept {
			n++
		}
	}
	return n
}

func (t *Table) isReady(p *peer, now time.Time) bool {
	return p.heartbeat.Ready && now.Sub(p.lastHeartbeatAt) < t.deadAfter
}

// RelayRouter is a router that may take requests of another one.
type RelayRouter struct {
	Addr string // of its relay listener, TCP
	Zone string
}

// Relays returns the other routers that take requests, are heard of and have not lost the
// links to a service, by address.
func (t *Table) Relays(now time.Time, service string) []RelayRouter {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.lostAfter()
	var list []RelayRouter
	for _, p := range t.peers {
		if p.heartbeat.Ready && now.Sub(p.lastHeartbeatAt) < lost && !slices.Contains(p.heartbeat.Lost, service) {
			list = append(list, RelayRouter{Addr: p.addr, Zone: p.heartbeat.Zone})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Addr < list[j].Addr })
	return list
}

// Lost returns the services whose endpoints some other router does not reach.
func (t *Table) Lost(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, p := range t.peers {
		if now.Sub(p.lastHeartbeatAt) < t.deadAfter {
			list = append(list, p.heartbeat.Lost...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// IsHost reports whether a known router has an address on a host.
func (t *Table) IsHost(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if at, _, err := net.SplitHostPort(p.addr); err == nil && at == host {
			return true
		}
	}
	return false
}

// Count returns the number of routers among which shared limits are divided, this one included.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, p := range t.peers {
		if p.isMember(now) {
			n++
		}
	}
	return n
}

func (p *peer) isMember(now time.Time) bool {
	return !p.heartbeat.Draining && (now.Sub(p.lastHeartbeatAt) < memberTTL || now.Sub(p.registeredAt) < memberTTL)
}

// Members returns the other routers in Count, by name.
func (t *Table) Members(now time.Time) []upstream.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.lostAfter()
	list := make([]upstream.Peer, 0, len(t.names))
	for _, name := range t.names {
		if p := t.peers[name]; p.isMember(now) {
			list = append(list, upstream.Peer{Name: name, Heard: now.Sub(p.lastHeartbeatAt) < lost, Demand: p.heartbeat.Demand})
		}
	}
	return list
}

// lostAfter returns the time without a heartbeat after which a router may be partitioned
// from this one. The caller holds t.mu.
func (t *Table) lostAfter() time.Duration { return maxLostHeartbeats * Interval(len(t.peers)+1) }

// CountAlive returns the number of other routers with a recent heartbeat.
func (t *Table) CountAlive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if now.Sub(p.lastHeartbeatAt) < t.deadAfter {
			n++
		}
	}
	return n
}

// CountLost returns the number of other routers that are not alive, but were at some time
// in the last period and did not say that they stop. They may be partitioned from this one.
func (t *Table) CountLost(now time.Time, period time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, lost := 0, t.lostAfter()
	for _, p := range t.peers {
		if silent := now.Sub(p.lastHeartbeatAt); !p.heartbeat.Draining && silent >= lost && silent < period {
			n++
		}
	}
	return n
}

// runningUnit is the unit in which requests are summed, as routers tell them: whole numbers add
// and subtract without errors that grow.
const runningUnit = 0.1

// addRunning adds the requests of a router to the sums, or subtracts them with sign -1.
func (t *Table) addRunning(p *peer, sign int64) {
	for id, n := range p.heartbeat.Running {
		sum := t.running[id] + sign*int64(math.Round(n/runningUnit))
		if sum == 0 {
			delete(t.running, id)
			continue
		}
		t.running[id] = sum
	}
	t.addReading(p, sign)
	p.summed = sign > 0
}

// Running returns the sum of the requests that the other routers run, by endpoint.
// Routers without a recent heartbeat do not count.
func (t *Table) Running(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if alive := now.Sub(p.lastHeartbeatAt) < t.deadAfter; p.summed != alive {
			sign := int64(1)
			if !alive {
				sign = -1
			}
			t.addRunning(p, sign)
		}
	}
	list := make(map[string]float64, len(t.running))
	for id, sum := range t.running {
		list[id] = float64(sum) * runningUnit
	}
	return list
}
