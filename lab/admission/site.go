package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/lab/virtual"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
)

// Sizes describes a site.
type Sizes struct {
	Routers   int
	Endpoints int
	Groups    int
	Bears     int
	ColdBears int
	WarmAfter int
	Service   time.Duration // mean time that a request runs
	Arrivals  float64       // requests per second
	Lag       time.Duration // of load reports
	Exact     bool          // all runs take exactly Service
	Multiple  float64       // c, the bound on an endpoint's load over the mean
}

// Small is a site of today's size, Large one of the planned size. Both carry
// four fifths of what their endpoints bear.
var (
	Small = Sizes{Routers: 7, Endpoints: 12, Groups: 1, Bears: 8, ColdBears: 2, WarmAfter: 40,
		Service: time.Second, Arrivals: 0.8 * 12 * 8, Lag: 200 * time.Millisecond, Multiple: 1.25}
	Large = Sizes{Routers: 330, Endpoints: 640, Groups: 23, Bears: 4, ColdBears: 1, WarmAfter: 40,
		Service: time.Second, Arrivals: 0.8 * 640 * 4, Lag: 200 * time.Millisecond, Multiple: 1.25}
)

// Policy decides about requests at an entry.
type Policy interface {
	// Ask asks for a place at an endpoint of the group for a request that came
	// in at entry. It calls done with the endpoint, or nil after refusal.
	Ask(entry *virtual.Router, group []*Endpoint, done func(*Place))
	// Start is called for every process that starts.
	Start(r *virtual.Router)
	// Usable reports whether requests are admitted to e.
	Usable(e *Endpoint) bool
	// Finished tells that a request has ended.
	Finished(place *Place, completed bool)
}

// Place is a place at an endpoint.
type Place struct {
	Entry    *virtual.Router
	Endpoint *Endpoint
	Check    func() bool // last check before dispatch; may be nil
	Ended    func()      // called when the endpoint has ended it; may be nil
	Data     any         // of the policy
	// FirstToken is the time to the first token of the answer.
	FirstToken time.Duration
}

// Site is a fleet before its endpoints under a stream of requests.
type Site struct {
	Sizes
	Fleet     *virtual.Fleet
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

// NewSite returns a site with warm endpoints. The policy starts with the
// fleet.
func NewSite(sizes Sizes, seed uint64, policy func(*Site) Policy) *Site {
	s := &Site{Sizes: sizes, Rng: rand.New(rand.NewPCG(seed, 7)), Check: invariant.New(logr.Discard())}
	s.Fleet = virtual.New(0, member.DefaultConfig(), seed)
	s.makeEndpoints()
	s.Policy = policy(s)
	s.Fleet.OnStart = s.Policy.Start
	for i := range sizes.Routers {
		s.Fleet.Add(fmt.Sprintf("host-%03d", i))
	}
	s.sample()
	return s
}

func (s *Site) makeEndpoints() {
	c := config.Config{
		Limits: config.Limits{MeanMultiple: s.Multiple, LoadLag: config.Duration(s.Lag)},
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
			Capacity: s.Bears, ColdCapacity: s.ColdBears, WarmAfter: s.WarmAfter,
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
func (s *Site) Offer() {
	gap := time.Duration(s.Rng.ExpFloat64() / s.Arrivals * float64(time.Second))
	s.Fleet.After(gap, func() {
		if s.stopped {
			return
		}
		s.arrive()
		s.Offer()
	})
}

// Restart takes an endpoint down for a while; it comes back cold.
func (s *Site) Restart(e *Endpoint, down time.Duration) {
	if e.Down {
		return
	}
	e.Crash()
	s.Fleet.After(down, e.Restart)
}

// Stop ends the stream.
func (s *Site) Stop() {
	s.stopped = true
}

// arrive brings a request to a random entry that works.
func (s *Site) arrive() {
	var entry *virtual.Router
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
	s.Policy.Ask(entry, s.Groups[s.Rng.IntN(len(s.Groups))], func(p *Place) {
		if p == nil {
			s.Refused++
			return
		}
		s.dispatch(p)
	})
}

// dispatch sends a request with a place to its endpoint.
func (s *Site) dispatch(p *Place) {
	if p.Check != nil && !p.Check() {
		s.Void++
		s.Policy.Finished(p, false)
		return
	}
	s.Fleet.After(s.Fleet.Delay, func() { s.begin(p) })
}

func (s *Site) begin(p *Place) {
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
func (s *Site) end(p *Place, completed bool) {
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

func (s *Site) runTime() time.Duration {
	if s.Exact {
		return s.Service
	}
	return time.Duration(s.Rng.ExpFloat64() * float64(s.Service))
}

// Means are compared with the largest of the last samples, since a change
// takes a while to reach all owners.
const (
	sampleEvery = 50 * time.Millisecond
	sampleCount = 40
)

// sample keeps the recent means of all groups.
func (s *Site) sample() {
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
func (s *Site) watchMean(e *Endpoint) {
	mean := 0.0
	for _, sample := range s.means[e.group] {
		mean = math.Max(mean, sample)
	}
	bound := math.Max(1, math.Ceil(s.Multiple*mean-1e-9))
	if over := float64(e.Running) / bound; over > 1 {
		s.OverMean++
		s.WorstMean = math.Max(s.WorstMean, over)
	}
}

// Overruns returns the requests that reached a full endpoint and the largest
// number beyond what an endpoint bore.
func (s *Site) Overruns() (requests, worst int) {
	for _, e := range s.Endpoints {
		requests += e.Overruns
		worst = max(worst, e.Worst)
	}
	return requests, worst
}

// try returns up to n endpoints of the group in random order.
func (s *Site) try(group []*Endpoint, n int) []*Endpoint {
	n = min(n, len(group))
	order := s.Rng.Perm(len(group))
	out := make([]*Endpoint, n)
	for i := range n {
		out[i] = group[order[i]]
	}
	return out
}
