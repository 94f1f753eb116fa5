package measure

import (
	"math/rand/v2"
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// hop is the time of a message one way.
	hop = 500 * time.Microsecond
	// meanEvery is the time between two updates of a group's mean.
	meanEvery = 250 * time.Millisecond
	// loadEvery is the time between two load reports and lagTicks the number
	// of reports by which they lag.
	loadEvery = 500 * time.Millisecond
	lagTicks  = 2
	// eventsEvery is the time between two pages of cache events.
	eventsEvery = 2 * time.Second
	// gapShare is the share of pages that are lost.
	gapShare = 0.1
)

// scenario is what happens during a run besides the traffic.
type scenario struct {
	churnEvery time.Duration // an endpoint is upgraded every so often; 0: none
	tokenLost  bool          // callers do not echo the place token
	surge      bool          // the first workspace sends surgeFactor times as much
	zoneOut    bool          // the first zone goes out and returns
}

// policy decides where requests go. Policies hold no state of the model.
type policy interface {
	arrive(r *request)
	done(r *request, e *endpoint)
}

// fleet is one run: endpoints, routers, traffic and a policy.
type fleet struct {
	loop     *loop
	rng      *rand.Rand // of the fleet, not of the traffic
	workload *Workload
	scenario scenario
	config   *config.Config
	snapshot *config.Snapshot
	source   *source
	ends     []*endpoint
	policy   policy
	stats    *stats

	permits map[string]int     // by group, now
	means   map[string]float64 // by group, lagging
	usable  map[string]int     // by group
	groups  []string
	byName  map[string]int
	surging bool
}

// policyMaker builds a policy on a fleet.
type policyMaker struct {
	name string
	make func(f *fleet) policy
}

func newFleet(w *Workload, s scenario, seed uint64, p policyMaker) *fleet {
	f := &fleet{
		loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 2)), workload: w, scenario: s,
		config: &w.State.Config, snapshot: config.NewSnapshot(w.State), source: newSource(seed, w),
		permits: make(map[string]int), means: make(map[string]float64), usable: make(map[string]int), byName: make(map[string]int),
	}
	f.stats = newStats(f)
	for i := range f.config.Endpoints {
		e := newEndpoint(i, &f.config.Endpoints[i])
		e.gate = newGate(f, e)
		f.ends = append(f.ends, e)
		f.byName[e.config.Name] = i
		if f.usable[e.config.Group()] == 0 {
			f.groups = append(f.groups, e.config.Group())
		}
		f.usable[e.config.Group()]++
	}
	f.policy = p.make(f)
	return f
}

// run runs the whole workload and returns the figures.
func (f *fleet) run() *stats {
	f.startTraffic()
	f.loop.every(meanEvery, f.updateMeans)
	f.loop.every(loadEvery, f.reportLoads)
	f.loop.every(time.Second, f.sample)
	f.startScenario()
	f.loop.run(f.countedEnd())
	f.stats.close()
	return f.stats
}

func (f *fleet) countedStart() time.Time { return epoch.Add(f.workload.Warmup) }
func (f *fleet) countedEnd() time.Time   { return f.countedStart().Add(f.workload.Counted) }

// counting reports whether requests sent at t are counted.
func (f *fleet) counting(t time.Time) bool {
	return !t.Before(f.countedStart())
}

func (f *fleet) startTraffic() {
	t := f.workload.Traffic
	f.stream(t.ChatsPerSecond, func() { f.nextTurn(f.source.newChat(f.source.space())) })
	f.stream(t.WaitsPerSecond, func() { f.send(f.source.wait(f.loop.now)) })
	f.stream(t.CallsPerSecond, func() { f.send(f.source.call(f.loop.now)) })
}

// stream calls do perSecond times a second, at random times.
func (f *fleet) stream(perSecond float64, do func()) {
	if perSecond <= 0 {
		return
	}
	mean := time.Duration(float64(time.Second) / perSecond)
	f.loop.after(f.source.exponential(mean), func() {
		do()
		f.stream(perSecond, do)
	})
}

func (f *fleet) nextTurn(c *chat) {
	f.send(f.source.turn(f.loop.now, c))
}

func (f *fleet) send(r *request) {
	r.router = f.rng.IntN(f.workload.Routers)
	f.stats.sent(r)
	f.policy.arrive(r)
}

// dispatch starts r at e, with reuse tokens cached there after a move that
// takes moveTime. ended is called when the answer is complete.
func (f *fleet) dispatch(r *request, e *endpoint, moveFrom *endpoint, ended func(held time.Duration)) {
	reuse, moveTime := f.prefix(r, e, moveFrom)
	f.stats.dispatched(r, e, reuse)
	rate := 1
	if m := f.snapshot.Model(r.kind.Model); m != nil {
		rate = m.PrefillPerSecond
	}
	held := e.start(f.loop.now, r, &f.workload.Traffic, reuse, moveTime, rate)
	f.stats.started(r, held-f.serve(r))
	if _, admits := f.policy.(installer); admits {
		f.stats.admitted(e)
	}
	boot := e.boot
	f.loop.after(held, func() {
		if boot == e.boot {
			e.finish(r)
		}
		ended(held)
		f.finish(r, e)
	})
}

// prefix returns the tokens that r finds cached at e, and the time of moving
// them there first.
func (f *fleet) prefix(r *request, e, from *endpoint) (int, time.Duration) {
	if r.chat == nil {
		return 0, 0
	}
	held := min(e.holds(r.chat.key), r.prompt)
	if from == nil || !from.up {
		return held, 0
	}
	moved := min(from.holds(r.chat.key), r.prompt)
	if moved <= held {
		return held, 0
	}
	f.stats.moved(r, moved)
	rate := f.snapshot.Model(r.kind.Model).MovePerSecond
	return moved, time.Duration(moved) * time.Second / time.Duration(rate)
}

// finish counts r as answered and lets its chat return.
func (f *fleet) finish(r *request, e *endpoint) {
	f.stats.answered(r)
	f.policy.done(r, e)
	c := r.chat
	if c == nil {
		return
	}
	c.length = r.prompt + r.output
	f.later(c)
}

// refuse ends r without answer. The chat goes on later.
func (f *fleet) refuse(r *request) {
	f.stats.refused(r)
	if r.chat != nil {
		f.later(r.chat)
	}
}

func (f *fleet) later(c *chat) {
	if c.turns > 0 {
		f.loop.after(f.source.pause(), func() { f.nextTurn(c) })
	}
}

func (f *fleet) permitsChanged(group string, by int) {
	f.permits[group] += by
}

// mean returns the group's mean as the owners know it.
func (f *fleet) mean(group string) float64 {
	return f.means[group]
}

// updateMeans recomputes each group's permits and waiting requests per usable
// endpoint.
func (f *fleet) updateMeans() {
	waiting := make(map[string]int, len(f.groups))
	clear(f.usable)
	for _, e := range f.ends {
		if e.gate.usable() {
			f.usable[e.config.Group()]++
		}
		waiting[e.config.Group()] += e.gate.queue.Len()
	}
	for _, g := range f.groups {
		f.means[g] = float64(f.permits[g]) / float64(max(f.usable[g], 1))
	}
	for _, e := range f.ends {
		if e.gate.queue.Len() > 0 {
			e.gate.pump()
		}
	}
}

// reportLoads takes the load reports that baselines read with a lag.
func (f *fleet) reportLoads() {
	for _, e := range f.ends {
		copy(e.lastLoads[1:], e.lastLoads)
		e.lastLoads[0] = e.running + len(e.queue)
	}
}

// lagged returns the load of e as its last visible report tells it.
func (e *endpoint) lagged() int {
	return e.lastLoads[lagTicks-1]
}

func (f *fleet) sample() {
	if f.counting(f.loop.now) {
		f.stats.sample()
	}
}
