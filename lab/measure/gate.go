package measure

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/queue"
)

// gate is the admission of one endpoint by an owner that all routers agree on:
// exact permits, the cap by the group's mean, and the real wait queue.
type gate struct {
	fleet   *fleet
	end     *endpoint
	queue   *queue.Queue
	permits int
	waiting map[uint64]*ticket
}

// ticket is a request that waits at a gate.
type ticket struct {
	r       *request
	granted func()
	denied  func(outcome.Code)
}

func newGate(f *fleet, e *endpoint) *gate {
	g := &gate{fleet: f, end: e, queue: queue.New(queue.DefaultBound), waiting: make(map[uint64]*ticket)}
	g.queue.SetCapacity(e.config.Capacity)
	return g
}

// cap returns the number of permits allowed now.
func (g *gate) cap() int {
	byMean := max(1, int(math.Ceil(meanMultiple*g.fleet.mean(g.end.config.Group()))))
	return min(byMean, g.end.bears())
}

// load is what a permit reply tells.
func (g *gate) load() candidates.Load {
	return candidates.Load{
		Permits: g.permits, Cap: g.cap(), Queue: g.queue.Urgent(),
		Cold: g.end.cold(), Incarnation: g.end.boot,
	}
}

// usable reports whether the gate may grant at all.
func (g *gate) usable() bool {
	return g.end.up && !g.end.leaving && !g.fleet.snapshot.IndexOutOfService(g.end.index)
}

// ask queues a request until giveUp.
func (g *gate) ask(t *ticket, giveUp time.Time, serve time.Duration) {
	if !g.usable() {
		t.denied(outcome.EndpointOut)
		return
	}
	now := g.fleet.loop.now
	space := &g.fleet.config.Workspaces[t.r.space]
	item := queue.Item{
		ID: t.r.id, Workspace: space.Name, Share: space.Share, Kind: t.r.kind,
		Sent: t.r.sent, Deadline: t.r.deadline, WaitUntil: giveUp, ServeTime: serve,
	}
	g.waiting[t.r.id] = t
	if refused, any := g.queue.Push(now, item, g.cap()); any {
		g.deny(refused)
	}
	g.pump()
	if _, still := g.waiting[t.r.id]; still {
		g.fleet.loop.after(giveUp.Sub(now), g.expire)
	}
}

func (g *gate) deny(refused queue.Refused) {
	t := g.waiting[refused.Item.ID]
	delete(g.waiting, refused.Item.ID)
	t.denied(refused.Code)
}

func (g *gate) expire() {
	for _, refused := range g.queue.Expire(g.fleet.loop.now, g.cap()) {
		g.deny(refused)
	}
	g.pump()
}

// pump grants what may be granted.
func (g *gate) pump() {
	if !g.usable() {
		return
	}
	for {
		limit := g.cap()
		item, ok := g.queue.Pop(g.fleet.loop.now, g.permits, limit)
		if !ok {
			return
		}
		t := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		g.permits++
		g.fleet.permitsChanged(g.end.config.Group(), 1)
		if g.permits > limit {
			g.fleet.stats.overCap++
		}
		t.granted()
	}
}

// release gives a permit back.
func (g *gate) release(r *request, held time.Duration) {
	g.permits--
	g.fleet.permitsChanged(g.end.config.Group(), -1)
	g.queue.Done(g.fleet.config.Workspaces[r.space].Name, held)
	g.pump()
}

// close denies all that wait, because the endpoint leaves.
func (g *gate) close() {
	for {
		item, ok := g.queue.Pop(g.fleet.loop.now, -math.MaxInt32, math.MaxInt32)
		if !ok {
			return
		}
		g.queue.Done(item.Workspace, 0)
		t := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		t.denied(outcome.EndpointOut)
	}
}
