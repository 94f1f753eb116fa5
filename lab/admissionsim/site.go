package admissionsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
)

// Sizes describes a site.
type Sizes struct {
	Routers      int
	Endpoints    int
	Groups       int
	Capacity     int
	ColdCapacity int
	WarmAfter    int
	ServiceTime  time.Duration // mean time that a request runs
	ArrivalRate  float64       // requests per second
	Lag          time.Duration // of load reports
	Exact        bool          // all runs take exactly Service
	MeanMultiple float64       // c, the bound on an endpoint's load over the mean
}

// Small is a site of today's size, Large one of the planned size. Both carry
// four fifths of what their endpoints bear.
var (
	Small = Sizes{Routers: 7, Endpoints: 12, Groups: 1, Capacity: 8, ColdCapacity: 2, WarmAfter: 40,
		ServiceTime: time.Second, ArrivalRate: 0.8 * 12 * 8, Lag: 200 * time.Millisecond, MeanMultiple: 1.25}
	Large = Sizes{Routers: 330, Endpoints: 640, Groups: 23, Capacity: 4, ColdCapacity: 1, WarmAfter: 40,
		ServiceTime: time.Second, ArrivalRate: 0.8 * 640 * 4, Lag: 200 * time.Millisecond, MeanMultiple: 1.25}
)

// Policy decides about requests at an entry.
type Policy interface {
	// Acquire asks for a place at an endpoint of the group for a request that came
	// in at entry. It calls done with the endpoint, or nil after refusal.
	Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot))
	// Start is called for every process that starts.
	Start(r *sim.Router)
	// Usable reports whether requests are admitted to e.
	Usable(e *Endpoint) bool
	// Finished tells that a request has ended.
	Finished(place *Slot, completed bool)
}

// Slot is a place at an endpoint.
type Slot struct {
	Entry    *sim.Router
	Endpoint *Endpoint
	Check    func() bool // last check before dispatch; may be nil
	Ended    func()      // called when the endpoint has ended it; may be nil
	Data     any         // of the policy
	// FirstToken is the time to the first token of the answer.
	FirstToken time.Duration
}

// Simulation is a fleet before its endpoints under a stream of requests.
type Simulation struct {
	Sizes
	Fleet     *sim.Fleet
	Snapshot  *config.Snapshot
	Endpoints []*Endpoint
	Groups    [][]*Endpoint
	Policy    Policy
	Check     *invariant.Checker
	Rng       *rand.Rand

	Offered, Served, Refused, Void, Failed int64
	// OverMean counts requests that raised an endpoint's load beyond the cap
	// that follows from the true mean of its group; WorstMean is the largest
	// load over that cap.
	OverMean  int64
	WorstMean float64
	means     [][]float64 // by group
	stopped   bool
}

// NewSimulation returns a site with warm endpoints. The policy starts with the
// fleet.
func NewSimulation(sizes Sizes, seed uint64, policy func(*Simulation) Policy) *Simulation {
	s := &Simulation{Sizes: sizes, Rng: rand.New(rand.NewPCG(seed, 7)), Check: invariant.New(logr.Discard())}
	s.Fleet = sim.New(0, member.DefaultConfig(), seed)
	s.makeEndpoints()
	s.Policy = policy(s)
	s.Fleet.OnStart = s.Policy.Start
	for i := range sizes.Routers {
		s.Fleet.Add(fmt.Sprintf("host-%03d", i))
	}
	s.sample()
	return s
}

func (s *Simulation) makeEndpoints() {
	c := config.Config{
		Limits: config.Limits{MeanMultiple: s.MeanMultiple, LoadLag: config.Duration(s.Lag)},
		Zones:  []config.Zone{{Name: "a", Region: "r"}},
	}
	for g := range s.Sizes.Groups {
		name := fmt.Sprintf("model-%02d", g)
		c.Models = append(c.Models, config.Model{Name: name})
		c.Kinds = append(c.Kinds, config.Kind{Name: name, Model: name, Worth: 1,
			FullUntil: config.Duration(10 * time.Second), Deadline: config.Duration(20 * time.Second)})
	}
	for i := range s.Sizes.Endpoints {
		c.Endpoints = append(c.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("endpoint-%03d", i), Model: c.Models[i%s.Sizes.Groups].Name, Zone: "a",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
			Capacity: s.Capacity, ColdCapacity: s.ColdCapacity, WarmAfter: s.WarmAfter,
		})
	}
	s.Snapshot = config.NewSnapshot(config.State{Version: 1, Config: c})
	s.Groups = make([][]*Endpoint, s.Sizes.Groups)
	s.means = make([][]float64, s.Sizes.Groups)
	for i := range s.Snapshot.Config.Endpoints {
		e := &Endpoint{Settings: &s.Snapshot.Config.Endpoints[i], Boot: 1, Completed: s.WarmAfter,
			total: uint64(s.WarmAfter), group: i % s.Sizes.Groups, index: i}
		s.Endpoints = append(s.Endpoints, e)
		s.Groups[i%s.Sizes.Groups] = append(s.Groups[i%s.Sizes.Groups], e)
	}
}

// Offer starts the stream of requests.
func (s *Simulation) Offer() {
	gap := time.Duration(s.Rng.ExpFloat64() / s.ArrivalRate * float64(time.Second))
	s.Fleet.After(gap, func() {
		if s.stopped {
			return
		}
		s.arrive()
		s.Offer()
	})
}

// Restart takes an endpoint down for a while; it comes back cold.
func (s *Simulation) Restart(e *Endpoint, down time.Duration) {
	if e.Down {
		return
	}
	e.Crash()
	s.Fleet.After(down, e.Restart)
}

// Stop ends the stream.
func (s *Simulation) Stop() {
	s.stopped = true
}

// arrive brings a request to a random entry that works.
func (s *Simulation) arrive() {
	var entry *sim.Router
	for range 20 {
		r := s.Fleet.Routers[s.Rng.IntN(len(s.Fleet.Routers))]
		if r.Up && !r.Paused {
			entry = r
			break
		}
	}
	if entry == nil {
		return
	}
	s.Offered++
	s.Policy.Acquire(entry, s.Groups[s.Rng.IntN(len(s.Groups))], func(p *Slot) {
		if p == nil {
			s.Refused++
			return
		}
		s.dispatch(p)
	})
}

// dispatch sends a request with a place to its endpoint.
func (s *Simulation) dispatch(p *Slot) {
	if p.Check != nil && !p.Check() {
		s.Void++
		s.Policy.Finished(p, false)
		return
	}
	s.Fleet.After(s.Fleet.Delay, func() { s.begin(p) })
}

func (s *Simulation) begin(p *Slot) {
	r := &running{end: func(completed bool) { s.end(p, completed) }}
	if !p.Endpoint.begin(r) {
		s.end(p, false)
		return
	}
	p.FirstToken = p.Endpoint.FirstToken()
	s.watchMean(p.Endpoint)
	s.Fleet.After(s.runTime(), func() { p.Endpoint.finish(r) })
}

// end tells the entry that its request has ended.
func (s *Simulation) end(p *Slot, completed bool) {
	if p.Ended != nil {
		p.Ended()
	}
	s.Fleet.Do(p.Entry, s.Fleet.Delay, func() {
		if completed {
			s.Served++
		} else {
			s.Failed++
		}
		s.Policy.Finished(p, completed)
	})
}

func (s *Simulation) runTime() time.Duration {
	if s.Exact {
		return s.ServiceTime
	}
	return time.Duration(s.Rng.ExpFloat64() * float64(s.ServiceTime))
}

// Means are compared with the largest of the last samples, since a change
// takes a while to reach all owners.
const (
	sampleEvery = 50 * time.Millisecond
	sampleCount = 40
)

// sample keeps the recent means of all groups.
func (s *Simulation) sample() {
	for i, group := range s.Groups {
		running, usable := 0, 0
		for _, e := range group {
			if s.Policy.Usable(e) {
				usable++
			}
			running += e.Running
		}
		mean := float64(running) / float64(max(usable, 1))
		s.means[i] = append(s.means[i], mean)
		if len(s.means[i]) > sampleCount {
			s.means[i] = s.means[i][1:]
		}
	}
	s.Fleet.After(sampleEvery, s.sample)
}

// watchMean compares e's load with the recent mean of its group.
func (s *Simulation) watchMean(e *Endpoint) {
	mean := 0.0
	for _, sample := range s.means[e.group] {
		mean = math.Max(mean, sample)
	}
	bound := math.Max(1, math.Ceil(s.MeanMultiple*mean-1e-9))
	if over := float64(e.Running) / bound; over > 1 {
		s.OverMean++
		s.WorstMean = math.Max(s.WorstMean, over)
	}
}

// Overruns returns the requests that reached a full endpoint and the largest
// number beyond what an endpoint bore.
func (s *Simulation) Overruns() (requests, worst int) {
	for _, e := range s.Endpoints {
		requests += e.Overruns
		worst = max(worst, e.Worst)
	}
	return requests, worst
}

// try returns up to n endpoints of the group in random order.
func (s *Simulation) try(group []*Endpoint, n int) []*Endpoint {
	n = min(n, len(group))
	order := s.Rng.Perm(len(group))
	out := make([]*Endpoint, n)
	for i := range n {
		out[i] = group[order[i]]
	}
	return out
}
