package peers

import (
	"sort"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/feed"
)

// Heartbeat is what a router tells the others of itself.
type Heartbeat struct {
	Name           string             `json:"name"`
	Incarnation    int64              `json:"boot"` // start of the process, Unix time in ns
	Number         int64              `json:"n"`    // rises with each beat of a process
	Front          string             `json:"front"`
	Zone           string             `json:"zone"`
	Ready          bool               `json:"ready"`
	Running        map[string]float64 `json:"running,omitempty"` // requests by endpoint, smoothed
	Placements     []Placement        `json:"placed,omitempty"`  // since the beats before
	Draining       bool               `json:"leaving,omitempty"` // the process is about to end
	StoreReachable bool               `json:"store"`             // it reaches the platform's store
	Offsets        []int64            `json:"offsets,omitempty"` // up to which it has the records of each topic
}

// Relay carries records that one router read for all.
type Relay struct {
	Topic int        `json:"topic"`
	Batch feed.Batch `json:"batch"`
}

// message is what one datagram holds.
type message struct {
	Beat  *Heartbeat `json:"beat,omitempty"`
	Relay *Relay     `json:"relay,omitempty"`
}

// Placement says that a prompt key went to an endpoint, which caches its parts now.
type Placement struct {
	Key      uint64 `json:"k"`
	Endpoint string `json:"e"`
}

// Registration is where the store says that a router can be reached.
type Registration struct {
	Name string `json:"name"`
	Addr string `json:"addr"` // for beats, UDP
}

// Member is a router that takes requests.
type Member struct{ Name, Front, Zone string }

// memberMemory is how long a router that went silent still counts when limits
// are shared out, as it may be cut off and go on sending.
const memberMemory = 10 * time.Minute

type peer struct {
	addr    string
	known   time.Time // registration
	heardAt time.Time
	beat    Heartbeat
}

// Table holds the other routers. It is safe for concurrent use.
type Table struct {
	self      string
	mu        sync.Mutex
	peers     map[string]*peer
	deadAfter time.Duration
}

// New returns an empty table of the router self. A router not heard for
// deadAfter is not named to callers.
func New(self string, deadAfter time.Duration) *Table {
	return &Table{self: self, peers: make(map[string]*peer), deadAfter: deadAfter}
}

// SetDeadAfter changes the time after which a silent router is not named.
func (t *Table) SetDeadAfter(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadAfter = d
}

// Register adds a router or changes its address.
func (t *Table) Register(now time.Time, r Registration) {
	if r.Name == t.self || r.Name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.get(r.Name)
	p.addr, p.known = r.Addr, now
}

func (t *Table) get(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	return p
}

// RecordHeartbeat notes a beat that came from addr and reports whether the router was not
// known before. Beats that overtook each other are left out.
func (t *Table) RecordHeartbeat(now time.Time, b Heartbeat, addr string) bool {
	if b.Name == t.self || b.Name == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[b.Name] != nil
	p := t.get(b.Name)
	if b.overtaken(&p.beat, now.Sub(p.heardAt)) {
		return false
	}
	p.beat, p.heardAt, p.addr = b, now, addr
	return !known
}

// straggles is how long beats of a process may still arrive after its end.
const straggles = time.Second

// overtaken reports whether a beat is older than the last one, which was heard
// some time ago. Clocks may be set back between two processes of a host, so an
// earlier start says little once the other process has fallen silent.
func (b *Heartbeat) overtaken(last *Heartbeat, ago time.Duration) bool {
	if b.Incarnation == last.Incarnation {
		return b.Number <= last.Number
	}
	return b.Incarnation < last.Incarnation && ago < straggles
}

// ReadyBefore returns how many ready routers with a name before the own one reach
// the store.
func (t *Table) ReadyBefore(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for name, p := range t.peers {
		if name < t.self && p.beat.StoreReachable && p.beat.Ready && now.Sub(p.heardAt) < t.deadAfter {
			n++
		}
	}
	return n
}

// Addresses returns where beats go.
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
func (t *Table) Ready(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for name, p := range t.peers {
		if p.beat.Ready && now.Sub(p.heardAt) < t.deadAfter {
			list = append(list, Member{Name: name, Front: p.beat.Front, Zone: p.beat.Zone})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Count returns the routers among which shared limits are divided, this one
// included.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, p := range t.peers {
		if p.counts(now) {
			n++
		}
	}
	return n
}

func (p *peer) counts(now time.Time) bool {
	return !p.beat.Draining && (now.Sub(p.heardAt) < memberMemory || now.Sub(p.known) < memberMemory)
}

// Names returns the names of the routers that Count counts but this one.
func (t *Table) Names(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, p := range t.peers {
		if p.counts(now) {
			names = append(names, name)
		}
	}
	return names
}

// Running adds up the requests that the other routers run, by endpoint. The
// word of a router that went silent does not count.
func (t *Table) Running(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(map[string]float64)
	for _, p := range t.peers {
		if now.Sub(p.heardAt) >= t.deadAfter {
			continue
		}
		for id, n := range p.beat.Running {
			sum[id] += n
		}
	}
	return sum
}
