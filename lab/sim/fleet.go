package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/member"
)

// Epoch is the start time of every simulation.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// FrameBytes is the overhead of a message beside its protobuf encoding: the gRPC
// prefix, the HTTP/2 frame header, and TCP and IP headers.
const FrameBytes = 5 + 9 + 52

// listInterval is the interval between reads of the platform's host list.
const listInterval = time.Second

// Router is one router process.
type Router struct {
	Table  *member.Table
	Member member.Member
	Up     bool
	Paused bool
	inbox  []event // events that arrived during a pause

	SentBytes, ReceivedBytes, SentMessages int64
}

// Fleet holds routers, their links and the clock.
type Fleet struct {
	Now     time.Time
	Routers []*Router
	Rng     *rand.Rand
	Delay   time.Duration // least delay of a message, one way; gossip takes up to twice as long
	// Blocked reports whether messages from one router to another are lost.
	Blocked func(from, to *Router) bool
	// List returns the platform's host list; nil: no list is read.
	List func() []member.Member
	// OnTick is called after each tick of a router.
	OnTick func(r *Router)
	// OnStart is called when a process starts.
	OnStart func(r *Router)

	cfg          member.Config
	byName       map[string]*Router
	events       events
	sequence     int64
	incarnations uint64
}

type event struct {
	at       time.Time
	sequence int64
	to       *Router
	table    *member.Table // process that the event is for
	from     *Router       // nil: tick
	msg      *peerpb.Gossip
	run      func()
}

// New returns a fleet of n routers that start within one tick.
func New(n int, cfg member.Config, seed uint64) *Fleet {
	f := &Fleet{
		Now:    Epoch,
		Rng:    rand.New(rand.NewPCG(seed, 1)),
		Delay:  time.Millisecond,
		cfg:    cfg,
		byName: make(map[string]*Router),
	}
	f.List = f.liveHosts
	for i := range n {
		f.Add(fmt.Sprintf("host-%03d", i))
	}
	return f
}

// liveHosts returns all hosts that are up.
func (f *Fleet) liveHosts() []member.Member {
	out := make([]member.Member, 0, len(f.Routers))
	for _, r := range f.Routers {
		if r.Up {
			out = append(out, r.Member)
		}
	}
	return out
}

// Add starts a router on a new host.
func (f *Fleet) Add(name string) *Router {
	r := &Router{Member: member.Member{Name: name, Zone: "a", Region: "r"}}
	number := uint16(len(f.byName) + 1)
	address := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	r.Member.Peer = netip.AddrPortFrom(address, 7001)
	r.Member.Caller = netip.AddrPortFrom(address, 7000)
	f.Routers = append(f.Routers, r)
	f.byName[name] = r
	f.Start(r)
	return r
}

// Start starts a new process on r's host.
func (f *Fleet) Start(r *Router) {
	f.incarnations++
	r.Member.Incarnation = f.incarnations<<20 + f.Rng.Uint64N(1<<20)
	r.Up, r.Paused = true, false
	r.inbox = nil
	r.Table = member.New(r.Member, f.cfg, rand.New(rand.NewPCG(r.Member.Incarnation, 2)))
	phase := time.Duration(f.Rng.Int64N(int64(f.cfg.Tick)))
	f.push(event{at: f.Now.Add(phase), to: r, table: r.Table})
	f.readList(r, r.Table)
	if f.OnStart != nil {
		f.OnStart(r)
	}
}

// readList lets a process read the host list now and every listInterval.
func (f *Fleet) readList(r *Router, table *member.Table) {
	if r.Table != table || !r.Up {
		return
	}
	if f.List != nil && !r.Paused {
		if list := f.List(); list != nil {
			r.Table.SetHostList(f.Now, list)
		}
	}
	f.After(listInterval, func() { f.readList(r, table) })
}

// Kill kills the process of r.
func (f *Fleet) Kill(r *Router) {
	r.Up = false
}

// Pause pauses the process of r; its messages are queued.
func (f *Fleet) Pause(r *Router) {
	r.Paused = true
}

// Resume resumes the process of r with the queued messages.
func (f *Fleet) Resume(r *Router) {
	r.Paused = false
	for _, e := range r.inbox {
		e.at = f.Now
		f.push(e)
	}
	r.inbox = nil
}

// Find returns the router with this name.
func (f *Fleet) Find(name string) *Router {
	return f.byName[name]
}

// After runs fn after d.
func (f *Fleet) After(d time.Duration, fn func()) {
	f.push(event{at: f.Now.Add(d), run: fn})
}

// Do runs fn in the current process of r after d. fn is dropped if the process has
// ended by then, and queued while it is paused.
func (f *Fleet) Do(r *Router, d time.Duration, fn func()) {
	f.push(event{at: f.Now.Add(d), to: r, table: r.Table, run: fn})
}

// Send runs fn in receiver's process when a message from sender would arrive there.
// Messages on a blocked link are lost.
func (f *Fleet) Send(sender, receiver *Router, fn func()) {
	if !receiver.Up || (f.Blocked != nil && sender != receiver && f.Blocked(sender, receiver)) {
		return
	}
	if sender == receiver {
		f.Do(receiver, 0, fn)
		return
	}
	f.Do(receiver, f.Delay, fn)
}

func (f *Fleet) push(e event) {
	f.sequence++
	e.sequence = f.sequence
	heap.Push(&f.events, e)
}

// Run advances the clock by d.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		f.handle(e)
	}
	f.Now = end
}

func (f *Fleet) handle(e event) {
	switch {
	case e.to == nil:
		e.run()
	case e.to.Table != e.table || !e.to.Up:
	case e.to.Paused:
		e.to.inbox = append(e.to.inbox, e)
	case e.run != nil:
		e.run()
	case e.from == nil:
		f.tick(e.to)
	default:
		e.to.ReceivedBytes += size(e.msg)
		f.send(e.to, e.to.Table.HandleGossip(f.Now, e.from.Member.Name, e.msg))
	}
}

func (f *Fleet) tick(r *Router) {
	f.send(r, r.Table.Tick(f.Now))
	f.push(event{at: f.Now.Add(f.cfg.Tick), to: r, table: r.Table})
	if f.OnTick != nil {
		f.OnTick(r)
	}
}

func (f *Fleet) send(from *Router, out []member.Outgoing) {
	for _, o := range out {
		from.SentMessages++
		from.SentBytes += size(o.Message)
		to := f.byName[o.To.Name]
		if to == nil || !to.Up || (f.Blocked != nil && f.Blocked(from, to)) {
			continue
		}
		jitter := time.Duration(f.Rng.Int64N(int64(f.Delay)))
		f.push(event{at: f.Now.Add(f.Delay + jitter), to: to, table: to.Table, from: from, msg: o.Message})
	}
}

func size(m *peerpb.Gossip) int64 {
	return int64(proto.Size(m) + FrameBytes)
}

// Views returns the number of different views of the running routers, and whether
// they share one with as many members as routers are up and not draining.
func (f *Fleet) Views() (distinct int, correct bool) {
	seen := make(map[member.ViewID]bool)
	correct = true
	up := 0
	for _, r := range f.Routers {
		if r.Up && !r.Member.Draining {
			up++
		}
	}
	for _, r := range f.Routers {
		if !r.Up || r.Paused {
			continue
		}
		v := r.Table.View()
		if v == nil {
			correct = false
			continue
		}
		seen[v.ID] = true
		correct = correct && len(v.Members) == up
	}
	return len(seen), correct && len(seen) == 1
}

// events is a heap of events ordered by time.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
