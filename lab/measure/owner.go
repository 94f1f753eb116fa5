package measure

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/queue"
)

// admissionOwner is the admission owner of one endpoint, on which all routers
// agree: exact permits, the cap by the group mean, and the wait queue of package queue.
type admissionOwner struct {
	fleet    *fleet
	endpoint *endpoint
	queue    *queue.Queue
	permits  int
	waiting  map[uint64]*permitRequest
}

// permitRequest is a request that waits for a permit.
type permitRequest struct {
	r       *request
	granted func()
	denied  func(outcome.Code)
}

func newAdmissionOwner(f *fleet, e *endpoint) *admissionOwner {
	g := &admissionOwner{fleet: f, endpoint: e, queue: queue.New(queue.DefaultBound), waiting: make(map[uint64]*permitRequest)}
	g.queue.SetCapacity(e.config.Capacity)
	return g
}

// limit returns the number of permits allowed now, the cap.
func (g *admissionOwner) limit() int {
	byMean := max(1, int(math.Ceil(meanMultiple*g.fleet.mean(g.endpoint.config.Group()))))
	return min(byMean, g.endpoint.currentCapacity())
}

// load returns the load in a permit reply.
func (g *admissionOwner) load() candidates.Load {
	return candidates.Load{
		Permits: g.permits, Cap: g.limit(), Queue: g.queue.Urgent(),
		Cold: g.endpoint.cold(), Incarnation: g.endpoint.incarnation,
	}
}

// usable reports whether the owner may grant permits at all.
func (g *admissionOwner) usable() bool {
	return g.endpoint.up && !g.endpoint.draining && !g.fleet.snapshot.IndexOutOfService(g.endpoint.index)
}

// request queues a request until waitUntil.
func (g *admissionOwner) request(t *permitRequest, waitUntil time.Time, serve time.Duration) {
	if !g.usable() {
		t.denied(outcome.EndpointOut)
		return
	}
	now := g.fleet.loop.now
	workspace := &g.fleet.config.Workspaces[t.r.workspace]
	item := queue.Item{
		ID: t.r.id, Workspace: workspace.Name, Share: workspace.Share, Kind: t.r.kind,
		Sent: t.r.sent, Deadline: t.r.deadline, WaitUntil: waitUntil, ServeTime: serve,
	}
	g.waiting[t.r.id] = t
	if refused, full := g.queue.Push(now, item, g.limit()); full {
		g.deny(refused)
	}
	g.grantWaiting()
	if _, waiting := g.waiting[t.r.id]; waiting {
		g.fleet.loop.after(waitUntil.Sub(now), g.expire)
	}
}

func (g *admissionOwner) deny(refused queue.Refused) {
	t := g.waiting[refused.Item.ID]
	delete(g.waiting, refused.Item.ID)
	t.denied(refused.Code)
}

func (g *admissionOwner) expire() {
	for _, refused := range g.queue.Expire(g.fleet.loop.now, g.limit()) {
		g.deny(refused)
	}
	g.grantWaiting()
}

// grantWaiting grants permits to waiting requests up to the cap.
func (g *admissionOwner) grantWaiting() {
	if !g.usable() {
		return
	}
	for {
		limit := g.limit()
		item, ok := g.queue.Pop(g.fleet.loop.now, g.permits, limit)
		if !ok {
			return
		}
		t := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		g.permits++
		g.fleet.addPermits(g.endpoint.config.Group(), 1)
		if g.permits > limit {
			g.fleet.stats.overCap++
		}
		t.granted()
	}
}

// release releases a permit.
func (g *admissionOwner) release(r *request, held time.Duration) {
	g.permits--
	g.fleet.addPermits(g.endpoint.config.Group(), -1)
	g.queue.Done(g.fleet.config.Workspaces[r.workspace].Name, held)
	g.grantWaiting()
}

// denyAll denies all waiting requests, as the endpoint drains or is out of service.
func (g *admissionOwner) denyAll() {
	for {
		item, ok := g.queue.Pop(g.fleet.loop.now, -math.MaxInt32, math.MaxInt32) // running and limit allow every item
		if !ok {
			return
		}
		g.queue.Done(item.Workspace, 0)
		t := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		t.denied(outcome.EndpointOut)
	}
}
