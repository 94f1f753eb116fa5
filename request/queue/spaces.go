package queue

import "math"

const (
	// maxLead and maxLag bound, in permits, how far a workspace's account may
	// run before or behind the others'. An idle workspace gains no more than
	// maxLag.
	maxLead = 20
	maxLag  = 4
)

// space is the account of one workspace.
type space struct {
	share   float64
	waiting int
	patient int // of the waiting, those that can wait
	running int
	pass    uint64 // of spaces, in which factor was worked out
	factor  float64
	served  float64 // permits got, per share: the virtual time of the workspace
}

// spaces are the accounts of the workspaces at one endpoint, by the rules of
// start-time fair queueing.
type spaces struct {
	byName  map[string]*space
	urgent  int     // waiting requests that cannot wait, of all workspaces
	running int     // permits held, of all workspaces
	total   float64 // sum of the shares of workspaces that wait or run
	pass    uint64  // number of the pass over the queue
	clock   float64 // virtual time: permits given per share in use
}

func newSpaces() spaces {
	return spaces{byName: make(map[string]*space)}
}

func (s *spaces) enqueued(name string, share float64, canWait bool) *space {
	w, ok := s.byName[name]
	if !ok {
		w = &space{share: share}
		s.byName[name] = w
	}
	if w.idle() {
		w.share = share
		s.total += share
		w.served = max(w.served, s.clock-maxLag/share)
	}
	w.waiting++
	if canWait {
		w.patient++
	} else {
		s.urgent++
	}
	return w
}

func (w *space) idle() bool {
	return w.waiting == 0 && w.running == 0
}

// left tells that a request of the workspace left the queue.
func (s *spaces) left(name string, canWait bool) {
	w := s.byName[name]
	w.waiting--
	if canWait {
		w.patient--
	} else {
		s.urgent--
	}
	s.settle(name, w)
}

// started tells that a request of the workspace got a permit. It follows left.
func (s *spaces) started(name string) {
	w := s.byName[name]
	if w == nil {
		return
	}
	if w.idle() {
		s.total += w.share
	}
	w.running++
	s.running++
	w.served = min(w.served+1/w.share, s.clock+maxLead/w.share)
	s.clock += 1 / max(s.total, w.share)
}

// done tells that a permit of the workspace was given back.
func (s *spaces) done(name string) {
	w := s.byName[name]
	if w == nil || w.running == 0 {
		return
	}
	w.running--
	s.running--
	s.settle(name, w)
}

// settle takes an idle workspace out of the sum of shares. Its account is kept
// while it is ahead of the others, and forgotten afterwards.
func (s *spaces) settle(name string, w *space) {
	if !w.idle() {
		return
	}
	s.total = max(s.total-w.share, 0)
	if len(s.byName) > maxAccounts {
		s.forgetIdle()
	}
}

// maxAccounts bounds the accounts that are kept of idle workspaces.
const maxAccounts = 512

func (s *spaces) forgetIdle() {
	for name, w := range s.byName {
		if w.idle() && w.served <= s.clock {
			delete(s.byName, name)
		}
	}
}

// weight is 1 for a workspace at its share, larger for one that got less and
// much smaller for one that got more. It is worked out once in a pass over the
// queue.
func (s *spaces) weight(w *space) float64 {
	if w.pass != s.pass {
		lag := (s.clock - w.served) * w.share
		w.factor = math.Exp2(min(max(lag, -maxLead), maxLag))
		w.pass = s.pass
	}
	return w.factor
}

// overShare reports whether the workspace runs more than its share.
func (s *spaces) overShare(name string) bool {
	w := s.byName[name]
	return w != nil && w.served > s.clock
}

const (
	// reserveFactor times the root of the permits that the others hold is the
	// number of free permits kept for them while a workspace is over its share
	// and queues up. The root is how far their load varies by chance.
	reserveFactor = 1.25
	// surgeWaiting is the number of waiting requests of a workspace that cannot
	// wait from which on permits are kept back from it.
	surgeWaiting = 2
	// fairSlack is how far over its share a workspace may be by chance.
	fairSlack = 2
)

// missing returns how many of the running permits have to be given back before
// item may take one of limit. A workspace over its share that queues up, and
// work that can wait, leave some free for the others, so that these need not
// wait for a request to end.
//
// While the limit is below full, what the endpoint bears, it is the mean that
// binds. Then other endpoints have room, and nothing is kept back unless
// requests queue up.
func (s *spaces) missing(item *Item, running, limit, full int) int {
	kept := 0
	if s.keepsBack(item.space, item, limit, full) {
		others := max(running-item.space.running, 0)
		kept = int(math.Ceil(reserveFactor * math.Sqrt(float64(others))))
	}
	return max(running+kept-limit+1, 0)
}

// keepsBack reports whether item of w has to leave some permits free.
func (s *spaces) keepsBack(w *space, item *Item, limit, full int) bool {
	short := full > 0 && limit >= full
	if item.Kind.CanWait {
		return short || s.urgent > 0
	}
	fair := float64(limit) * w.share / max(s.total, w.share)
	if w.waiting-w.patient >= surgeWaiting {
		return float64(w.running) >= fair
	}
	return short && float64(w.running) >= fair+fairSlack
}
