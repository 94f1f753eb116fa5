package measure

import (
	"math/rand/v2"
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// hopDelay is the one-way delay of a message.
	hopDelay = 500 * time.Microsecond
	// meanInterval is the time between two updates of a group's mean.
	meanInterval = 250 * time.Millisecond
	// loadReportInterval is the time between two load reports and keptReports the
	// number of reports kept; policies read the oldest.
	loadReportInterval = 500 * time.Millisecond
	keptReports        = 2
	// cacheEventsInterval is the time between two pages of cache events.
	cacheEventsInterval = 2 * time.Second
	// lostPageShare is the share of pages of cache events that are lost.
	lostPageShare = 0.1
)

// scenario selects the events of a run besides the traffic.
type scenario struct {
	upgradeInterval  time.Duration // between upgrades of endpoints; 0: none
	tokenLost        bool          // callers do not echo the place token
	surge            bool          // the first workspace sends surgeFactor times as much
	zoneOutOfService bool          // the first zone is out of service for a while
}

// policy decides where requests go.
type policy interface {
	arrive(r *request)
	done(r *request, e *endpoint)
}

// fleet is one run: endpoints, routers, traffic and a policy.
type fleet struct {
	loop      *eventLoop
	rng       *rand.Rand // independent of that of the traffic
	workload  *Workload
	scenario  scenario
	config    *config.Config
	snapshot  *config.Snapshot
	source    *source
	endpoints []*endpoint
	policy    policy
	stats     *stats

	permits map[string]int     // by group, now
	means   map[string]float64 // by group, lagging
	usable  map[string]int     // by group
	groups  []string
	byName  map[string]int
	surging bool
}

// policyFactory creates a policy for a fleet.
type policyFactory struct {
	name string
	make func(f *fleet) policy
}

func newFleet(w *Workload, s scenario, seed uint64, p policyFactory) *fleet {
	f := &fleet{
		loop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 2)), workload: w, scenario: s,
		config: &w.State.Config, snapshot: config.NewSnapshot(w.State), source: newSource(seed, w),
		permits: make(map[string]int), means: make(map[string]float64), usable: make(map[string]int), byName: make(map[string]int),
	}
	f.stats = newStats(f)
	for i := range f.config.Endpoints {
		e := newEndpoint(i, &f.config.Endpoints[i])
		e.admission = newAdmissionOwner(f, e)
		f.endpoints = append(f.endpoints, e)
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
	f.loop.every(meanInterval, f.updateMeans)
	f.loop.every(loadReportInterval, f.reportLoads)
	f.loop.every(time.Second, f.sample)
	f.startScenario()
	f.loop.run(f.measuredEnd())
	f.stats.countUnfinished()
	return f.stats
}

func (f *fleet) measuredStart() time.Time { return epoch.Add(f.workload.Warmup) }
func (f *fleet) measuredEnd() time.Time   { return f.measuredStart().Add(f.workload.Measured) }

// isCounted reports whether t is after the warm-up.
func (f *fleet) isCounted(t time.Time) bool {
	return !t.Before(f.measuredStart())
}

func (f *fleet) startTraffic() {
	t := f.workload.Traffic
	f.startPoisson(t.ChatsPerSecond, func() { f.nextTurn(f.source.newChat(f.source.pickWorkspace())) })
	f.startPoisson(t.DeferrablePerSecond, func() { f.send(f.source.deferrableRequest(f.loop.now)) })
	f.startPoisson(t.CallsPerSecond, func() { f.send(f.source.serviceCall(f.loop.now)) })
}

// startPoisson calls do as a Poisson process with the rate perSecond.
func (f *fleet) startPoisson(perSecond float64, do func()) {
	if perSecond <= 0 {
		return
	}
	mean := time.Duration(float64(time.Second) / perSecond)
	f.loop.after(f.source.exponential(mean), func() {
		do()
		f.startPoisson(perSecond, do)
	})
}

func (f *fleet) nextTurn(c *chat) {
	f.send(f.source.nextRequest(f.loop.now, c))
}

func (f *fleet) send(r *request) {
	r.router = f.rng.IntN(f.workload.Routers)
	f.stats.sent(r)
	f.policy.arrive(r)
}

// dispatch starts r at e, after moving the chat's prefix from moveFrom if it is
// set. ended is called when the response is complete.
func (f *fleet) dispatch(r *request, e *endpoint, moveFrom *endpoint, ended func(duration time.Duration)) {
	reuse, moveTime := f.findPrefix(r, e, moveFrom)
	f.stats.dispatched(r, e, reuse)
	rate := 1
	if m := f.snapshot.Model(r.kind.Model); m != nil {
		rate = m.PrefillPerSecond
	}
	duration := e.start(f.loop.now, r, &f.workload.Traffic, reuse, moveTime, rate)
	f.stats.recordFirstToken(r, duration-f.minServeTime(r))
	if _, admits := f.policy.(admissionPolicy); admits {
		f.stats.countOverrunOnStart(e)
	}
	incarnation := e.incarnation
	f.loop.after(duration, func() {
		if incarnation == e.incarnation {
			e.finish(r)
		}
		ended(duration)
		f.finish(r, e)
	})
}

// findPrefix returns the tokens that r finds cached at e, and the time to move
// them there first.
func (f *fleet) findPrefix(r *request, e, from *endpoint) (int, time.Duration) {
	if r.chat == nil {
		return 0, 0
	}
	cached := min(e.cachedTokens(r.chat.key), r.prompt)
	if from == nil || !from.up {
		return cached, 0
	}
	moved := min(from.cachedTokens(r.chat.key), r.prompt)
	if moved <= cached {
		return cached, 0
	}
	f.stats.moved(r, moved)
	rate := f.snapshot.Model(r.kind.Model).MovePerSecond
	return moved, time.Duration(moved) * time.Second / time.Duration(rate)
}

// finish counts r as completed and schedules the next turn of its chat.
func (f *fleet) finish(r *request, e *endpoint) {
	f.stats.completed(r)
	f.policy.done(r, e)
	c := r.chat
	if c == nil {
		return
	}
	c.historyTokens = r.prompt + r.output
	f.scheduleNextTurn(c)
}

// refuse ends r without a response. Its chat continues later.
func (f *fleet) refuse(r *request) {
	f.stats.refused(r)
	if r.chat != nil {
		f.scheduleNextTurn(r.chat)
	}
}

func (f *fleet) scheduleNextTurn(c *chat) {
	if c.turnsLeft > 0 {
		f.loop.after(f.source.pause(), func() { f.nextTurn(c) })
	}
}

func (f *fleet) addPermits(group string, by int) {
	f.permits[group] += by
}

// mean returns the group's mean that the owners know.
func (f *fleet) mean(group string) float64 {
	return f.means[group]
}

// updateMeans recomputes each group's permits per usable endpoint, and grants
// what the new means allow.
func (f *fleet) updateMeans() {
	waiting := make(map[string]int, len(f.groups))
	clear(f.usable)
	for _, e := range f.endpoints {
		if e.admission.usable() {
			f.usable[e.config.Group()]++
		}
		waiting[e.config.Group()] += e.admission.queue.Len()
	}
	for _, g := range f.groups {
		f.means[g] = float64(f.permits[g]) / float64(max(f.usable[g], 1))
	}
	for _, e := range f.endpoints {
		if e.admission.queue.Len() > 0 {
			e.admission.grantWaiting()
		}
	}
}

// reportLoads records the loads that baselines read with a lag.
func (f *fleet) reportLoads() {
	for _, e := range f.endpoints {
		copy(e.lastLoads[1:], e.lastLoads)
		e.lastLoads[0] = e.running + len(e.queue)
	}
}

// laggedLoad returns the load of e in the oldest report kept.
func (e *endpoint) laggedLoad() int {
	return e.lastLoads[keptReports-1]
}

func (f *fleet) sample() {
	if f.isCounted(f.loop.now) {
		f.stats.sample()
	}
}
