package queue

import "math"

const (
	// maxAhead and maxBehind bound, in permits, how far a workspace's virtual time may
	// run ahead of or behind the others'. An idle workspace gains at most maxBehind.
	maxAhead  = 20
	maxBehind = 4
)

// account is the fair-queueing state of one workspace.
type account struct {
	share       float64
	waiting     int
	deferrable  int // waiting requests that are deferrable
	running     int
	pass        uint64 // pass over the queue in which weight was computed
	weight      float64
	virtualTime float64 // permits received, divided by the share
}

// accounts holds the accounts of the workspaces at one endpoint. It implements
// start-time fair queueing.
type accounts struct {
	byName  map[string]*account
	urgent  int     // waiting requests that are not deferrable, of all workspaces
	running int     // permits held, of all workspaces
	total   float64 // sum of the shares of workspaces with waiting or running requests
	pass    uint64  // number of the current pass over the queue
	clock   float64 // virtual time: permits granted per share in use
}

func newAccounts() accounts {
	return accounts{byName: make(map[string]*account)}
}

// enqueued records that a request of the workspace joined the queue.
func (s *accounts) enqueued(name string, share float64, deferrable bool) *account {
	a, ok := s.byName[name]
	if !ok {
		a = &account{share: share}
		s.byName[name] = a
	}
	if a.idle() {
		a.share = share
		s.total += share
		a.virtualTime = max(a.virtualTime, s.clock-maxBehind/share)
	}
	a.waiting++
	if deferrable {
		a.deferrable++
	} else {
		s.urgent++
	}
	return a
}

func (a *account) idle() bool {
	return a.waiting == 0 && a.running == 0
}

// dequeued records that a request of the workspace left the queue.
func (s *accounts) dequeued(name string, deferrable bool) {
	a := s.byName[name]
	a.waiting--
	if deferrable {
		a.deferrable--
	} else {
		s.urgent--
	}
	s.retireIfIdle(name, a)
}

// started records that a request of the workspace got a permit. It must follow dequeued.
func (s *accounts) started(name string) {
	a := s.byName[name]
	if a == nil {
		return
	}
	if a.idle() {
		s.total += a.share
	}
	a.running++
	s.running++
	a.virtualTime = min(a.virtualTime+1/a.share, s.clock+maxAhead/a.share)
	s.clock += 1 / max(s.total, a.share)
}

// released records that a permit of the workspace was released.
func (s *accounts) released(name string) {
	a := s.byName[name]
	if a == nil || a.running == 0 {
		return
	}
	a.running--
	s.running--
	s.retireIfIdle(name, a)
}

// retireIfIdle removes an idle workspace from the sum of shares. Its account is
// kept while its virtual time is ahead of the others, and may be dropped afterwards.
func (s *accounts) retireIfIdle(name string, a *account) {
	if !a.idle() {
		return
	}
	s.total = max(s.total-a.share, 0)
	if len(s.byName) > maxAccounts {
		s.dropIdle()
	}
}

// maxAccounts is the number of accounts above which idle ones are dropped.
const maxAccounts = 512

func (s *accounts) dropIdle() {
	for name, a := range s.byName {
		if a.idle() && a.virtualTime <= s.clock {
			delete(s.byName, name)
		}
	}
}

// weight is 1 for a workspace at its share. It doubles for each permit that it got
// less and halves for each that it got more, within maxBehind and maxAhead.
func (s *accounts) weight(a *account) float64 {
	if a.pass != s.pass {
		lag := (s.clock - a.virtualTime) * a.share
		a.weight = math.Exp2(min(max(lag, -maxAhead), maxBehind))
		a.pass = s.pass
	}
	return a.weight
}

// overShare reports whether the workspace got more than its share.
func (s *accounts) overShare(name string) bool {
	a := s.byName[name]
	return a != nil && a.virtualTime > s.clock
}

const (
	// reserveFactor times the square root of the permits held by the others is the
	// number of free permits reserved for them while a workspace holds its share or
	// more and has requests queued. The root is the standard deviation of a random load.
	reserveFactor = 1.25
	// backlogThreshold is the number of a workspace's waiting, not deferrable requests
	// from which permits are reserved for the others.
	backlogThreshold = 2
	// fairShareSlack is how many permits above its share a workspace may hold by chance.
	fairShareSlack = 2
)

// permitsShort returns how many of the running permits have to be released before
// item may get one of limit permits. A workspace that holds its share or more and has
// a backlog, and deferrable work, leave some permits free for the others, so that
// these need not wait for a request to end.
//
// A limit below capacity follows from the mean load of the endpoint's group. Then
// other endpoints have free capacity, and permits are reserved only if requests
// queue up.
func (s *accounts) permitsShort(item *Item, running, limit, capacity int) int {
	reserved := 0
	if s.mustReserve(item.account, item, limit, capacity) {
		others := max(running-item.account.running, 0)
		reserved = int(math.Ceil(reserveFactor * math.Sqrt(float64(others))))
	}
	return max(running+reserved-limit+1, 0)
}

// mustReserve reports whether item of account a has to leave some permits free.
func (s *accounts) mustReserve(a *account, item *Item, limit, capacity int) bool {
	atCapacity := capacity > 0 && limit >= capacity
	if item.Kind.CanWait {
		return atCapacity || s.urgent > 0
	}
	fairShare := float64(limit) * a.share / max(s.total, a.share)
	if a.waiting-a.deferrable >= backlogThreshold {
		return float64(a.running) >= fairShare
	}
	return atCapacity && float64(a.running) >= fairShare+fairShareSlack
}
