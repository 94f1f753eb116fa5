package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/connection/forward"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/permits"
	"github.com/stoatmount/stoatmount/process/upstream"
	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	// permitRefreshInterval is how long it is believed whether a service uses permits, which router
	// owns them, and which endpoints it has.
	permitRefreshInterval = 100 * time.Millisecond
	// permitTick is the pause between looks for waits of an owned service that are due, and
	// permitIdleTick that while permits are out and nothing waits.
	permitTick     = 10 * time.Millisecond
	permitIdleTick = permitRefreshInterval
	// permitOwnerIdleTime is how long the permit state of a service is kept that no router asks for. The owner
	// keeps it longer, for the usual rates of the workspaces, which are averaged over a minute.
	permitOwnerIdleTime     = 5 * time.Second
	permitOwnerLongIdleTime = 2 * time.Minute
	// slotsPerRouter is the number of slots per router from which on a service needs no permits: the
	// routers can divide its slots among themselves.
	slotsPerRouter = 2
	// returnFraction is the part of the time left until its deadline for which a refused caller waits at most.
	returnFraction = 3
	// maxPermitWaitShare is the part of what is left of its objective that a call may wait for a permit.
	maxPermitWaitShare = 0.4
	// minPermitRetryAfter is the least Retry-After of a refusal by a permit owner.
	minPermitRetryAfter = 50 * time.Millisecond
	// queuedReplyTimeout is the time without any reply after which the owner of a queued ask counts as gone: the
	// ask is repeated each 40 ms, and a reply takes at most permits.ReplyTimeout.
	queuedReplyTimeout = 40*time.Millisecond + permits.ReplyTimeout
	// maxAsks is how often a request asks, if the owner went away and there is another one.
	maxAsks = 2
	// unknownCPUShare is assumed for a router that has not told its processor share, and the
	// others bound what is believed.
	unknownCPUShare = 0.25
	minCPUShare     = 0.01
	maxCPUShare     = 256
	// askNumberBits is the number of bits of an ask's number that count the asks of one service. The
	// others tell the service, since replies do not name it.
	askNumberBits = 44
)

// permitTable asks for permits and implements forward.Permits. It holds the permits of the
// services that this router owns.
type permitTable struct {
	r *Router

	paced   atomic.Bool  // endpoints of some service report their pace
	pacedAt atomic.Int64 // when that was found out, Unix time in ns

	mu       sync.Mutex // guards all below; upstream.Table.mu and peers.Table.mu are taken under it
	services map[string]*permitService
	byIndex  []*permitService
	waits    map[int64]*permitWait // requests that wait for a result, by the number of their ask
	out      []permitMessage       // to send once mu is released
	ticker   *time.Timer           // calls tick
	tickAt   time.Time             // when it does; zero if it is not set
}

// permitService is what the router knows of a service's permits.
type permitService struct {
	name      string
	asker     *permits.Asker
	timer     *time.Timer // calls expireAsks
	timerAt   time.Time   // when it does; zero if it is not set
	checkedAt time.Time
	used      bool
	owner     peers.PermitRouter // Addr is "" for this router

	owned       *permits.Owner // nil unless this router is asked for permits
	refreshedAt time.Time      // of the endpoints of owned
	askedAt     time.Time      // when owned was asked last

	loggedOwner                 string
	queued, refused, unanswered int // since the last log line
}

// permitMessage is a datagram to another router.
type permitMessage struct {
	message peers.Permit
	addr    string
}

func newPermitTable(r *Router) *permitTable {
	return &permitTable{r: r, services: make(map[string]*permitService), waits: make(map[int64]*permitWait)}
}

// wanted reports whether the deployment asks for permits for some service.
func (p *permitTable) wanted(now time.Time) bool {
	if p.r.s.ScarceCapacity {
		return true
	}
	if last := p.pacedAt.Load(); now.UnixNano()-last >= permitRefreshInterval.Nanoseconds() && p.pacedAt.CompareAndSwap(last, now.UnixNano()) {
		p.paced.Store(p.r.endpoints.ReportsPace())
	}
	return p.paced.Load()
}

// cpuShare returns the processor share that the other routers need to know; 0 if permits are not in use.
func (p *permitTable) cpuShare() float64 {
	if !p.wanted(time.Now()) {
		return 0
	}
	return p.r.s.CPUShare
}

// unlock releases mu and sends what is to be sent.
func (p *permitTable) unlock() {
	out := p.out
	p.out = nil
	p.mu.Unlock()
	if p.r.exchange == nil {
		return
	}
	for _, m := range out {
		p.r.exchange.SendPermit(m.message, m.addr)
	}
}

// service returns what is known of a service, at most permitRefreshInterval old, or nil if the
// configuration has no such plain service.
func (p *permitTable) service(now time.Time, name string) *permitService {
	s := p.services[name]
	if s != nil && now.Sub(s.checkedAt) < permitRefreshInterval {
		return s
	}
	table := p.r.config.Load()
	if table == nil {
		return nil
	}
	if svc := table.Service(name); svc == nil || svc.Engine != nil {
		return nil
	}
	if s == nil {
		first := p.r.incarnation + int64(len(p.byIndex))<<askNumberBits
		s = &permitService{name: name, asker: permits.NewAsker(name, first)}
		p.services[name] = s
		p.byIndex = append(p.byIndex, s)
	}
	s.checkedAt = now
	need := p.r.endpoints.PermitNeed(name)
	s.used = usesPermits(need, p.r.s.ScarceCapacity, p.r.peers.Count(now))
	if s.used {
		p.setOwner(s, p.findOwner(now, name))
	}
	return s
}

// usesPermits reports whether a plain service uses permits in a fleet of routers.
func usesPermits(n upstream.PermitNeed, scarce bool, routers int) bool {
	return n.ReportsLoad && n.Slots < slotsPerRouter*routers && (scarce || n.ReportsPace)
}

func (p *permitTable) setOwner(s *permitService, owner peers.PermitRouter) {
	if s.owner.Name != "" && owner.Name != s.owner.Name {
		s.asker.OwnerChanged()
		p.event(forward.PermitOwnerChanged)
	}
	s.owner = owner
}

// findOwner returns the permit owner of a service among the routers that are ready and heard of.
func (p *permitTable) findOwner(now time.Time, service string) peers.PermitRouter {
	list := p.r.peers.PermitRouters(now)
	if p.r.Ready() {
		list = append(list, peers.PermitRouter{Name: p.r.s.Name, CPU: p.r.s.CPUShare})
	}
	return permitOwner(service, list)
}

// ownerCPUExponent is how strongly hosts with much processor time are preferred as owners. A host with little of it
// answers late while it handles heartbeats: in proportion to the processor share, a tenth to a fifth of the asks
// got no reply in time.
const ownerCPUExponent = 3

// permitOwner returns the owner of a service's permits by rendezvous hashing, weighted by the processor shares, so
// that few services change their owner with a router.
func permitOwner(service string, list []peers.PermitRouter) peers.PermitRouter {
	var best peers.PermitRouter
	least, seed := math.Inf(1), xxhash.Sum64String(service)
	for _, r := range list {
		cpu := r.CPU
		if cpu <= 0 {
			cpu = unknownCPUShare
		}
		uniform := (float64(balance.RendezvousWeight(seed, r.Name)>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / math.Pow(min(max(cpu, minCPUShare), maxCPUShare), ownerCPUExponent); score < least || score == least && r.Name < best.Name {
			best, least = r, score
		}
	}
	return best
}

// setTimer makes expireAsks run when the next ask of a service is due.
func (p *permitTable) setTimer(now time.Time, s *permitService) {
	at, pending := s.asker.Deadline()
	if !pending || !s.timerAt.IsZero() && !at.Before(s.timerAt) {
		return
	}
	s.timerAt = at
	if s.timer == nil {
		s.timer = time.AfterFunc(at.Sub(now), func() { p.expireAsks(time.Now(), s) })
		return
	}
	s.timer.Reset(at.Sub(now))
}

// counts returns the services whose permits this router holds, and the calls that wait for them or
// have one.
func (p *permitTable) counts() (owned, waiting, running int) {
	p.mu.Lock()
	defer p.unlock()
	for _, s := range p.byIndex {
		if s.owned != nil {
			owned++
			waiting += s.owned.Waiting()
			running += s.owned.Stats().Held
		}
	}
	return owned, waiting, running
}

func (p *permitTable) event(e forward.PermitEvent) { p.r.observer.Permit(e) }

// shortHash returns a hash of a name that is not 0, which stands for none.
func shortHash(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(1, uint32(xxhash.Sum64String(name)))
}
