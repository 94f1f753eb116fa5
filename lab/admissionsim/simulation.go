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

// Sizes are the parameters of a simulation.
type Sizes struct {
	Routers      int
	Endpoints    int
	Groups       int
	Capacity     int
	ColdCapacity int
	WarmAfter    int
	ServiceTime  time.Duration // mean duration of a request
	ArrivalRate  float64       // requests per second
	Lag          time.Duration // of load reports
	Exact        bool          // every request takes exactly ServiceTime
	MeanMultiple float64       // bound of an endpoint's load relative to the mean load of its group
}

// Small is the present size of the fleet, Large the planned one. The offered
// load of both is four fifths of the capacity.
var (
	Small = Sizes{Routers: 7, Endpoints: 12, Groups: 1, Capacity: 8, ColdCapacity: 2, WarmAfter: 40,
		ServiceTime: time.Second, ArrivalRate: 0.8 * 12 * 8, Lag: 200 * time.Millisecond, MeanMultiple: 1.25}
	Large = Sizes{Routers: 330, Endpoints: 640, Groups: 23, Capacity: 4, ColdCapacity: 1, WarmAfter: 40,
		ServiceTime: time.Second, ArrivalRate: 0.8 * 640 * 4, Lag: 200 * time.Millisecond, MeanMultiple: 1.25}
)

// Policy is an admission policy. It decides on requests at the entry routers.
type Policy interface {
	// Acquire requests a slot at an endpoint of the group for a request that
	// arrived at entry. It calls done with the slot, or nil after a refusal.
	Acquire(entry *sim.Router, group []*Endpoint, done func(*Slot))
	// Start is called for every process that starts.
	Start(r *sim.Router)
	// Usable reports whether requests are admitted to e.
	Usable(e *Endpoint) bool
	// Finished is called when a request has ended.
	Finished(slot *Slot, completed bool)
}

// Slot admits one request to an endpoint.
type Slot struct {
	Entry    *sim.Router
	Endpoint *Endpoint
	Check    func() bool // last check before dispatch; may be nil
	Ended    func()      // called when the request has ended at the endpoint; may be nil
	Data     any         // state of the policy
	// TimeToFirstToken is the time to the first token of the response.
	TimeToFirstToken time.Duration
}

// Simulation is a fleet of routers with its endpoints and a stream of requests.
type Simulation struct {
	Sizes
	Fleet     *sim.Fleet
	Snapshot  *config.Snapshot
	Endpoints []*Endpoint
	Groups    [][]*Endpoint
	Policy    Policy
	Check     *invariant.Checker
	Rng       *rand.Rand

	Offered, Served, Refused, Undispatched, Failed int64
	// OverMean counts requests that raised an endpoint's load above max(1,
	// ceil(MeanMultiple x mean)), with the largest sampled mean of the last two
	// seconds; WorstOverMean is the largest load relative to that bound.
	OverMean      int64
	WorstOverMean float64
	means         [][]float64 // by group
	stopped       bool
}

// NewSimulation returns a simulation with warm endpoints. The policy starts
// with the fleet.
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
		e := &Endpoint{Settings: &s.Snapshot.Config.Endpoints[i], Incarnation: 1, Completed: s.WarmAfter,
			totalCompleted: uint64(s.WarmAfter), group: i % s.Sizes.Groups, index: i}
		s.Endpoints = append(s.Endpoints, e)
		s.Groups[i%s.Sizes.Groups] = append(s.Groups[i%s.Sizes.Groups], e)
	}
}

// StartTraffic starts the stream of requests, a Poisson process.
func (s *Simulation) StartTraffic() {
	gap := time.Duration(s.Rng.ExpFloat64() / s.ArrivalRate * float64(time.Second))
	s.Fleet.After(gap, func() {
		if s.stopped {
			return
		}
		s.arrive()
		s.StartTraffic()
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

// StopTraffic ends the stream of requests.
func (s *Simulation) StopTraffic() {
	s.stopped = true
}

// arrive sends a request to a random entry that is up.
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
	s.Policy.Acquire(entry, s.Groups[s.Rng.IntN(len(s.Groups))], func(slot *Slot) {
		if slot == nil {
			s.Refused++
			return
		}
		s.dispatch(slot)
	})
}

// dispatch sends a request with a slot to its endpoint.
func (s *Simulation) dispatch(slot *Slot) {
	if slot.Check != nil && !slot.Check() {
		s.Undispatched++
		s.Policy.Finished(slot, false)
		return
	}
	s.Fleet.After(s.Fleet.Delay, func() { s.begin(slot) })
}

func (s *Simulation) begin(slot *Slot) {
	request := &runningRequest{end: func(completed bool) { s.end(slot, completed) }}
	if !slot.Endpoint.begin(request) {
		s.end(slot, false)
		return
	}
	slot.TimeToFirstToken = slot.Endpoint.TimeToFirstToken()
	s.checkMean(slot.Endpoint)
	s.Fleet.After(s.runTime(), func() { slot.Endpoint.finish(request) })
}

// end notifies the entry that its request has ended.
func (s *Simulation) end(slot *Slot, completed bool) {
	if slot.Ended != nil {
		slot.Ended()
	}
	s.Fleet.Do(slot.Entry, s.Fleet.Delay, func() {
		if completed {
			s.Served++
		} else {
			s.Failed++
		}
		s.Policy.Finished(slot, completed)
	})
}

func (s *Simulation) runTime() time.Duration {
	if s.Exact {
		return s.ServiceTime
	}
	return time.Duration(s.Rng.ExpFloat64() * float64(s.ServiceTime))
}

// Loads are compared with the largest of the last sampled means, since a change
// of the mean takes a while to reach all owners.
const (
	sampleInterval = 50 * time.Millisecond
	sampleCount    = 40
)

// sample records the current mean of each group.
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
	s.Fleet.After(sampleInterval, s.sample)
}

// checkMean compares e's load with the recent mean of its group.
func (s *Simulation) checkMean(e *Endpoint) {
	mean := 0.0
	for _, sample := range s.means[e.group] {
		mean = math.Max(mean, sample)
	}
	bound := math.Max(1, math.Ceil(s.MeanMultiple*mean-1e-9))
	if over := float64(e.Running) / bound; over > 1 {
		s.OverMean++
		s.WorstOverMean = math.Max(s.WorstOverMean, over)
	}
}

// Overruns returns the number of requests that reached a full endpoint and the
// largest number of requests beyond the capacity of one.
func (s *Simulation) Overruns() (requests, worst int) {
	for _, e := range s.Endpoints {
		requests += e.Overruns
		worst = max(worst, e.MaxOverrun)
	}
	return requests, worst
}

// randomCandidates returns up to n endpoints of the group in random order.
func (s *Simulation) randomCandidates(group []*Endpoint, n int) []*Endpoint {
	n = min(n, len(group))
	order := s.Rng.Perm(len(group))
	out := make([]*Endpoint, n)
	for i := range n {
		out[i] = group[order[i]]
	}
	return out
}
